Feature: Decisions of an entry instance, without a network
  Each is compared with a naive version, or played under the load that it answers.

  Scenario: The max-min level gives out all there is and no more
    When accounts ask for any amounts
    Then the level gives each account its demand or the level, and all of the capacity

  Scenario: The model of an engine's memory keeps what a list of last uses keeps
    When prompts that share parts are sent in any order
    Then the cache counts the same leading tokens as the list

  Scenario: Instances that hear nothing of each other keep the bound on repeats together
    When requests and repeats arrive at four instances in any order
    Then no window has more repeats than the bound

  Scenario: A route is the one with the longest prefix
    When paths are looked up among any routes
    Then the found route is that of a search over all prefixes

  Scenario: Requests are the same however their bytes are cut
    When two requests arrive in pieces of any length
    Then the parser hands out the same two requests

  Scenario: Events are passed on whole however their bytes are cut
    When a stream arrives in pieces of any length, broken off anywhere and resumed
    Then the caller has each event once, in order

  Scenario Outline: A request is tried again only where that is allowed
    When a "<kind>" request that may go to <most> endpoints ended "<endings>"
    Then it is tried again: <again>

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

  Scenario: A prompt goes where it is kept, unless others wait far less
    When prompts of one session are placed while its engine's queue grows
    Then they stay at its engine first and go elsewhere when that saves more than rereading

  Scenario: An account within its share is placed where there is room
    When prompts of one session meet a full engine that keeps them and an idle one
    Then an account within its share has the idle one, and one beyond it waits

  Scenario: Prompts that find their engine full meet on one other
    When prompts of 50 sessions find the engine that keeps them full and the others hardly busy
    Then those of each session go to one other engine, and sessions are spread over all

  Scenario: A prompt that is too long to be on time is placed while nothing waits
    When a prompt that takes longer than its target meets an idle and a busy engine
    Then the idle one takes it and the busy one does not

  Scenario: A flood of one account takes no share of another's
    When one account asks for ten times what the engines give and another for a fifth of it
    Then the modest account gets nine tenths of what it asks, and no engine idles meanwhile

  Scenario: An endpoint that fails far more than others is left out, never the whole service
    When endpoints of a service fail at any rates
    Then at most half of them are left out, each failing far more often than the better half

  Scenario: Requests that come back give way to those that can still be on time
    When an engine is asked for twice what it gives, and each refused caller comes back once
    Then nine tenths of what the engine gives go to requests on time, more than placed alike

  Scenario: A report reaches each instance once, with one copy to each other failure domain
    When instances of any failure domains send reports
    Then each of the others gets each report once, and each failure domain one copy from outside

  Scenario: A quick look turns down no prompt that an engine should take
    When prompts and engines of any load meet
    Then the quick look agrees with the whole choice wherever that places a prompt

  Scenario: What an instance takes in of reports stays bounded as instances are added
    When fleets of 2 to 400 instances report to each other
    Then each instance takes in 650 reports a second at most, and small fleets report each 20 ms

  Scenario: Every instance knows which requests break endpoints off, and forgets it once answered
    When attempts break off and are answered on three instances that report to each other
    Then a request is refused after three crashes since its last answer, on all of them

  Scenario: An endpoint that crashes under many attempts of a request counts once
    When one endpoint breaks off the same request on four instances, and three times one by one
    Then only the attempts one by one make the request refused

  Scenario: Urgent requests are served before bulk work that waited longer
    When an engine is asked for three times what it gives, a twelfth of it urgent
    Then nine tenths of the urgent requests are on time, and both accounts get the same

  Scenario: Priorities take no account's share
    When an urgent and a bulk account each ask for all that an engine gives
    Then in any 6 seconds the bulk account gets at least half of what the urgent one got

  Scenario: What an account was given while others were idle is no debt
    When an account uses an engine alone for 8 seconds and two more ask for all of it from then on
    Then in any 6 seconds from then on each of the three gets at least half of what another got

  Scenario: An account is not charged for what no endpoint ran
    When half of the tokens given to one of two accounts are given back, as two instances see it
    Then both instances count what was kept, as much as for the other account

  Scenario: An idle account and one that used spare capacity enter a shortage alike
    When accounts take any tokens, for seconds with enough for all and seconds without
    Then no bucket is ever emptier than one depth of debt, and all are full while there is enough

  Scenario: What another instance gave is known from the reports that arrive
    When an instance gives tokens at any moments and any of its reports are lost
    Then what its reports add up to is what it gave, but for the decay between two of them

  Scenario: Two instances of each failure domain follow the store, and somebody always does
    When instances of any failure domains hear any of the others, some of them turned away
    Then of those that all hear each other two of each failure domain follow, else some do

  Scenario: Long prompts are served at least half as often as all under overload
    When an engine is asked for up to twice what it gives, a tenth of the prompts 4.5 times as long
    Then at least half as many in a hundred of the long ones are placed as of all
