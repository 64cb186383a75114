Feature: Decisions of an entry instance, without a network
  Each decision is compared with a simple reference, or simulated under the load it is made for.

  Scenario: The max-min level allocates all capacity and no more
    When accounts demand any amounts
    Then each account gets its demand or the level, and all capacity is allocated

  Scenario: The model of an engine's prefix cache matches a list in order of last use
    When prompts that share parts are sent in any order
    Then the cache counts the same leading tokens as the list

  Scenario: Instances that hear nothing of each other keep the limit on retries together
    When requests and retries arrive at four instances in any order
    Then no window has more retries than the limit

  Scenario: The route with the longest matching prefix is found
    When paths are looked up among any routes
    Then the route found is that of a search over all prefixes

  Scenario: Requests are parsed alike however their bytes are split
    When two requests arrive in pieces of any length
    Then the parser returns the same two requests

  Scenario: Events are forwarded intact however their bytes are split
    When a stream arrives in pieces of any length, broken off anywhere and resumed
    Then the caller receives each event once, in order

  Scenario Outline: A request is retried only where that is allowed
    When attempts of a "<kind>" request that may go to <most> endpoints ended as "<endings>"
    Then it is retried: <again>

    Examples:
      | kind             | most | endings            | again |
      | once             | 2    | broken             | no    |
      | once             | 2    | failed             | no    |
      | once             | 1    | rejected           | no    |
      | once             | 2    | rejected           | yes   |
      | once             | 1    | not_sent           | yes   |
      | once             | 1    | not_sent x6        | no    |
      | idempotent       | 2    | broken             | yes   |
      | idempotent       | 2    | broken, broken     | no    |
      | idempotent       | 2    | failed             | yes   |
      | stream_once      | 2    | broken             | no    |
      | stream_resumable | 2    | broken             | yes   |
      | once             | 3    | broken, rejected   | no    |

  Scenario: A prompt goes to the engine that caches it, unless the wait at others is far shorter
    When prompts of one session are placed while its engine's queue grows
    Then they stay at its engine until another one saves more time than reading them again takes

  Scenario: A prompt of an account within its share is placed on an engine with free capacity
    When prompts of one session meet a full engine that caches them and an idle one
    Then an account within its share gets the idle one, and one over its share waits

  Scenario: Prompts of a session whose engine is full all go to one other engine
    When the engine that caches the prompts of 50 sessions is full and the others are hardly busy
    Then the prompts of each session go to one other engine, and sessions are spread over all engines

  Scenario: A prompt too long to meet its target is placed on an idle engine only
    When a prompt that takes longer than its target meets an idle and a busy engine
    Then the idle one takes it and the busy one does not

  Scenario: A flood from one account does not reduce another account's share
    When one account demands ten times the capacity of an engine and another a fifth of it
    Then the modest account gets nine tenths of its demand, and the engine is hardly ever idle

  Scenario: Endpoints that fail far more often than others are ejected, but never a whole service
    When endpoints of a service fail at any rates
    Then at most half of them are ejected, each failing far more often than the better half

  Scenario: Retries by callers give way to requests that can still be on time
    When the demand is twice the capacity of an engine, and each refused caller retries once
    Then nine tenths of the capacity serve requests on time, more than if retries were not recognized

  Scenario: A report reaches each instance once, with one copy to each other failure domain
    When instances of any failure domains send reports
    Then each other instance gets each report once, and each failure domain one copy from outside

  Scenario: The quick check rules out no prompt that an engine should take
    When prompts of any length meet engines with any load
    Then the quick check passes each prompt that the full choice places

  Scenario: The rate of reports that an instance receives stays bounded as instances are added
    When fleets of 2 to 400 instances report to each other
    Then each instance receives at most 650 reports a second, and small fleets report every 20 ms

  Scenario: All instances refuse a request that crashes endpoints, and accept it again once answered
    When attempts break off and are answered on three instances that report to each other
    Then a request is refused after three crashes since its last answer, on all of them

  Scenario: A crash that breaks off many attempts of a request counts once
    When one endpoint breaks off the same request on four instances at once, and three times in turn
    Then only the attempts in turn make the request refused

  Scenario: Urgent requests are served before bulk requests that waited longer
    When the demand is three times the capacity of an engine, a twelfth of it urgent
    Then nine tenths of the urgent requests are on time, and both accounts get the same

  Scenario: Priorities do not reduce any account's share
    When an urgent and a bulk account each demand the full capacity of an engine
    Then in any 6 seconds each of the two gets at least half of what the other one got

  Scenario: Capacity used while other accounts were idle does not count against an account later
    When an account uses an engine alone for 8 seconds and two more demand all of it from then on
    Then in any 6 seconds from then on each of the three gets at least half of what another got

  Scenario: An account is not charged for requests that no endpoint ran
    When half of the tokens charged to one of two accounts are refunded, and another instance is told
    Then both instances count the same usage for both accounts

  Scenario: An idle account and one that used spare capacity are equal when a shortage begins
    When accounts use any number of tokens, in seconds with and without a shortage
    Then no bucket owes more than its depth, and all are full while there is no shortage

  Scenario: Another instance's usage is known from the reports that arrive
    When an instance charges tokens at any time and any of its reports are lost
    Then its reports add up to what it charged, apart from the decay between two of them

  Scenario: Two instances of each failure domain follow the store, and at least one always does
    When instances of any failure domains receive reports of each other, and the store turns some of them away
    Then two instances of each failure domain follow the store, or all if the store answers none

  Scenario: Under overload, long prompts are served at least half as often as all prompts
    When the demand is up to twice the capacity of an engine, a tenth of the prompts 4.5 times as long
    Then the placed fraction of long prompts is at least half that of all prompts
