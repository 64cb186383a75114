Feature: Entry instances alone take callers' requests to endpoints
  Each scenario runs the parts of the entry role over loopback, with the published protocol
  on both sides.

  Scenario: A request reaches the service of the longest prefix, with only what is its own
    Given routes "/" to "general" and "/orders/" to "orders"
    When a caller posts to "/orders/7?x=1" with headers that only the system may set
    Then the endpoint of "orders" ran exactly that request, with the account and no key
    And the caller got the endpoint's whole answer

  Scenario Outline: A request that the configuration does not allow is refused
    Given routes "/" to "general" and "/orders/" to "orders"
    When a caller posts to "<path>" on host "<host>" with key "<key>"
    Then it is answered <status> and nothing ran

    Examples:
      | path | host           | key            | status |
      | /a   | other.example  | key-of-mothers | 404    |
      | /a   | models.example | wrong          | 401    |
      | /a   | models.example | none           | 401    |

  Scenario Outline: Bytes that are no clear request are refused and the connection closed
    Given routes "/" to "general" and "/orders/" to "orders"
    When a connection sends <bytes>
    Then it is answered <status>, closed, and nothing ran

    Examples:
      | bytes                                | status |
      | two different lengths                | 400    |
      | a length and chunks                  | 400    |
      | an unknown transfer coding           | 400    |
      | a space before the colon             | 400    |
      | no host                              | 400    |
      | a second request hidden in a chunk   | 400    |
      | a body over the limit                | 413    |
      | headers over the limit               | 431    |
      | half a head and then nothing         | 408    |

  Scenario Outline: What a caller is told after an endpoint's trouble is true
    Given a "<kind>" route whose only endpoint has behaviour "<behaviour>"
    When a caller sends a request
    Then it is answered <status> and the endpoint ran it <runs> times

    Examples:
      | kind   | behaviour                | status | runs |
      | unsafe | answer                   | 200    | 1    |
      | unsafe | fail                     | 500    | 1    |
      | unsafe | break off                | 502    | 1    |
      | unsafe | answer short             | 502    | 1    |
      | unsafe | answer unsigned          | 502    | 1    |
      | unsafe | full                     | 503    | 0    |
      | unsafe | misdirected              | 503    | 0    |
      | unsafe | hang                     | 504    | 1    |
      | unsafe | answer without length    | 200    | 1    |
      | unsafe | answer after a stray one | 200    | 1    |
      | safe   | break off                | 502    | 1    |

  Scenario Outline: A safe request is sent once more, to another endpoint
    Given a "safe" route with one endpoint of behaviour "<behaviour>" and one that answers
    When a caller sends 6 requests one after the other
    Then all are answered 200 with their own whole answers

    Examples:
      | behaviour    |
      | break off    |
      | fail         |
      | answer short |
      | full         |
      | answer twice |

  Scenario: A stream that breaks off within an event goes on at another endpoint
    Given a resumable stream route with one endpoint that cuts and one that streams
    When a caller reads 4 streams one after the other
    Then each has every event once, in order, and an end

  Scenario: A stream that may not be resumed and breaks off does not look whole
    Given a "streaming" route whose only endpoint has behaviour "stream and cut"
    When a caller sends a request
    Then the connection ends before the answer does, with whole events only

  Scenario: An endpoint is freed as soon as its caller has left
    Given a "streaming" route whose only endpoint has behaviour "stream slowly"
    When a caller leaves in the middle of its stream
    Then the endpoint's connection ends within 0.3 s

  Scenario: A request is answered when its route's time is over, not later
    Given a "unsafe" route of 300 ms whose only endpoint has behaviour "hang"
    When a caller sends a request
    Then it is answered 504 after 300 to 500 ms

  Scenario: A request that crashed three endpoints is not sent to a fourth
    Given a "safe" route with 5 endpoints of behaviour "break off"
    When the same request is sent 6 times
    Then endpoints ran it 3 times at most

  Scenario: An endpoint that announces its leave gets nothing more
    Given a "safe" route with two endpoints that answer
    When one of them is draining
    Then requests go to the other one only

  Scenario: Entries of other writers name no endpoint
    Given a "safe" route with two endpoints that answer
    When entries with missing, wrong or unreadable fields appear
    Then requests go to the two endpoints only

  Scenario: Entries that vanish around an outage of the store may come back
    Given a "safe" route with two endpoints that answer
    When the store is away and has lost both entries when it is back
    Then requests are answered for a second, and refused as not run after 2 more

  Scenario: A newer configuration is in force at once, and an older one never again
    Given routes "/" to "general" and "/orders/" to "orders"
    When the configuration moves "/orders/" to "general", and an older one follows
    Then requests to "/orders/1" reach "general"

  Scenario: The history of the store is lost
    Given routes "/" to "general" and "/orders/" to "orders"
    When the store forgets its history together with a change of the configuration
    Then requests to "/orders/1" reach "general"

  Scenario Outline: An instance that the store turns away hears of changes from another one
    Given two instances, one of which the store answers with "<outage>"
    When the configuration drops a key and one endpoint drains
    Then the one turned away refuses the key and uses the other endpoint within 2 seconds

    Examples:
      | outage |
      | busy   |
      | reset  |
      | silent |

  Scenario: An instance that starts while the store is away learns from another one
    Given two instances, one of which the store answers with "silent"
    When a third instance starts with the store away
    Then it becomes ready and answers requests

  Scenario: An instance that knows no configuration says when to come back
    Given an instance whose store is silent
    When a caller sends a request
    Then it is answered 503 with a time to come back, and it is not ready

  Scenario: A process that is told to stop ends what it has and takes no more
    Given the entry role as a process of its own
    When it gets SIGTERM while a slow request is in progress
    Then the request is answered, it is not ready meanwhile, and the process ends with 0

  Scenario: Settings are checked whole
    Given a settings file of an entry instance with three mistakes
    When the entry role starts
    Then it names all three and ends with 2

  Scenario: Metrics tell what became of requests
    Given routes "/" to "general" and "/orders/" to "orders"
    When a caller is answered once and refused once
    Then the metrics count both, by result

  Scenario: An account is not charged for a request that its only endpoint turns away
    Given a "safe" route whose only endpoint has behaviour "full"
    When a caller asks for a prompt of 1460 tokens and an answer of 80
    Then the metrics count 1620 tokens as asked, given and unused, and the account lacks nothing

  Scenario: Changed settings are taken over while the process runs
    Given the entry role as a process of its own
    When its file names other seeds and it gets SIGHUP, and then holds a mistake
    Then it says what it took over, what was wrong, and goes on

  Scenario: An instance that has been silent for long is forgotten
    Given two instances, one of which the store answers with "busy"
    When one of them has not been heard for 61 seconds
    Then the other one sends it nothing and keeps nothing of it

  Scenario: A request whose caller leaves while it is about to be sent reaches no endpoint
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When a caller leaves while a connection to the endpoint is being opened
    Then the endpoint got nothing

  Scenario: Idle callers make room for new ones
    Given an instance that may hold 64 descriptors
    When 40 callers keep their connections open without a request and one more asks
    Then the last one is answered, and the connections idle for longest have ended

  Scenario: A lack of descriptors is not held against an endpoint
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When the instance has no descriptor left for one request
    Then that one is refused as not run, and the endpoint gets the next one without a pause

  Scenario: Idle connections to an endpoint stay within what it takes of all callers
    Given a "unsafe" route with 1 endpoints of behaviour "answer slowly"
    When 40 callers ask at once
    Then the instance keeps 25 connections to the endpoint open

  Scenario: A request that is answered between its breaks is not taken for one that crashes
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When the same request breaks off 3 times there and is answered after each
    Then it is answered once more

  Scenario: A stream that brings bytes but no event ends when callers give up
    Given a stream route of 20000 ms, pauses of 100 ms, whose only endpoint has behaviour "stream and trickle"
    When a caller of 20000 ms sends a request
    Then the connection ends before the answer does, after 2000 to 3200 ms

  Scenario: A stream that is slow but sound is not cut
    Given a stream route of 20000 ms, pauses of 100 ms, whose only endpoint has behaviour "stream with pauses"
    When a caller of 20000 ms sends a request
    Then the caller got every event once, in order, and the end

  Scenario: A resumable stream that brings no event goes on at another endpoint
    Given a resumable stream route of 20000 ms with one endpoint that trickles and one that streams
    When 2 callers of 20000 ms read a stream each
    Then each has every event once, in order, and an end, comments aside

  Scenario: An instance that starts while the store is away serves on the newest that any other has
    Given two instances, of which the first is behind and deaf
    When a third instance that knows only the first one starts with the store away
    Then it is ready with the newest configuration, and the withdrawn key and endpoint are not used

  Scenario: What waits is not sent after a pause in which its time ran out
    When an instance is paused while a request waits, and an endpoint is free when it wakes
    Then the request is not placed, and the endpoint has no load of it
