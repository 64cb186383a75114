Feature: Entry instances forward callers' requests to endpoints without sidecars
  Each scenario runs the parts of the entry role over loopback, with the published protocol
  on both sides.

  Scenario: A request reaches the service with the longest matching prefix, without forged headers
    Given routes "/" to "general" and "/orders/" to "orders"
    When a caller posts to "/orders/7?x=1" with headers that only the system may set
    Then the endpoint of "orders" ran exactly that request, with the account added and no key
    And the caller got the endpoint's complete response

  Scenario Outline: A request that the configuration does not allow is refused
    Given routes "/" to "general" and "/orders/" to "orders"
    When a caller posts to "<path>" on host "<host>" with key "<key>"
    Then it is answered <status> and no endpoint ran it

    Examples:
      | path | host           | key            | status |
      | /a   | other.example  | key-of-mothers | 404    |
      | /a   | models.example | wrong          | 401    |
      | /a   | models.example | none           | 401    |

  Scenario Outline: A malformed or ambiguous request is refused and its connection closed
    Given routes "/" to "general" and "/orders/" to "orders"
    When a connection sends <bytes>
    Then it is answered <status>, the connection is closed, and no endpoint ran it

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

  Scenario Outline: A caller is told truthfully what a faulty endpoint did with its request
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

  Scenario Outline: A safe request is retried once, at another endpoint
    Given a "safe" route with one endpoint of behaviour "<behaviour>" and one that answers
    When a caller sends 6 requests one after the other
    Then each gets 200 with its own complete response

    Examples:
      | behaviour    |
      | break off    |
      | fail         |
      | answer short |
      | full         |
      | answer twice |

  Scenario: A stream that breaks off within an event is resumed at another endpoint
    Given a resumable stream route with one endpoint that breaks off and one that streams
    When a caller reads 4 streams one after the other
    Then each has every event once, in order, and is complete

  Scenario: A stream that breaks off and may not be resumed does not look complete
    Given a "streaming" route whose only endpoint has behaviour "stream and cut"
    When a caller sends a request
    Then the connection ends before the response is complete, after complete events only

  Scenario: The attempt at an endpoint is cancelled as soon as its caller disconnects
    Given a "streaming" route whose only endpoint has behaviour "stream slowly"
    When a caller disconnects in the middle of its stream
    Then the endpoint's connection ends within 0.3 s

  Scenario: A request is answered when the timeout of its route expires, not later
    Given a "unsafe" route with a timeout of 300 ms whose only endpoint has behaviour "hang"
    When a caller sends a request
    Then it is answered 504 after 300 to 500 ms

  Scenario: A request that crashed three endpoints is not sent to a fourth
    Given a "safe" route with 5 endpoints of behaviour "break off"
    When the same request is sent 6 times
    Then endpoints ran it 3 times at most

  Scenario: An endpoint that is announced as draining gets no more requests
    Given a "safe" route with two endpoints that answer
    When one of them is draining
    Then requests go to the other one only

  Scenario: Invalid endpoint entries in the store are ignored
    Given a "safe" route with two endpoints that answer
    When entries with missing, wrong or unreadable fields appear in the store
    Then requests go to the two endpoints only

  Scenario: Endpoints whose entries vanish during an outage of the store stay in use for a while
    Given a "safe" route with two endpoints that answer
    When the store is unavailable and has lost both entries when it recovers
    Then requests are answered after 1 second, and refused as not run after 2 more

  Scenario: A newer configuration takes effect at once, and an older one is ignored
    Given routes "/" to "general" and "/orders/" to "orders"
    When the configuration moves "/orders/" to "general", and an older one follows
    Then requests to "/orders/1" reach "general"

  Scenario: The store loses its history of changes
    Given routes "/" to "general" and "/orders/" to "orders"
    When the store loses its history together with a change of the configuration
    Then requests to "/orders/1" reach "general"

  Scenario Outline: An instance without access to the store learns of changes from another one
    Given two instances, one of which sees the store outage "<outage>"
    When the configuration removes a key and one endpoint drains
    Then the instance without the store refuses the key and uses the other endpoint within 2 seconds

    Examples:
      | outage |
      | busy   |
      | reset  |
      | silent |

  Scenario: An instance that starts during an outage of the store learns from another one
    Given two instances, one of which sees the store outage "silent"
    When a third instance starts during the outage of the store
    Then it becomes ready and answers requests

  Scenario: An instance without a configuration says when to retry
    Given an instance whose store does not respond
    When a caller sends a request
    Then it is answered 503 with Retry-After, and the instance is not ready

  Scenario: A process that gets SIGTERM completes its requests and takes no more
    Given the entry role in a process of its own
    When it gets SIGTERM while a slow request is in progress
    Then the request is answered, the process is not ready meanwhile, and exits with code 0

  Scenario: All mistakes in the settings are reported
    Given a settings file of an entry instance with three mistakes
    When the entry role starts
    Then it names all three and exits with code 2

  Scenario: Addresses that no socket takes are reported before an instance listens
    Given a settings file of an entry instance with the store at port 99999 and callers at 1.2.3.4.5
    When the entry role starts
    Then it names both addresses and exits with code 2

  Scenario: Metrics count requests by their results
    Given routes "/" to "general" and "/orders/" to "orders"
    When a caller is answered once and refused once
    Then the metrics count both, by result

  Scenario: An account is not charged for a request that its only endpoint rejects
    Given a "safe" route whose only endpoint has behaviour "full"
    When a caller sends a prompt of 1460 tokens and asks for 80 output tokens
    Then the metrics count 1620 tokens as asked, given and unused, and the account is charged nothing

  Scenario: Changed settings are reloaded while the process runs
    Given the entry role in a process of its own
    When it gets SIGHUP with other seeds in its file, and again with a mistake in it
    Then it logs what it applied and what was wrong, and goes on

  Scenario: An instance that has not reported for a long time is forgotten
    Given two instances, one of which sees the store outage "busy"
    When one of them has not reported for 61 seconds
    Then the other one sends it no reports and keeps nothing of what it reported

  Scenario: A request whose caller disconnects just before it is sent reaches no endpoint
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When a caller disconnects while a connection to the endpoint is being opened
    Then the endpoint received nothing

  Scenario: Idle connections of callers are closed to accept new ones
    Given an instance that may open 64 file descriptors
    When 40 callers keep idle connections open and one more sends a request
    Then the last one is answered, and the connections idle for longest are closed

  Scenario: A lack of file descriptors does not count as a failure of the endpoint
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When the instance has no file descriptor left for one request
    Then that one is refused as not run, and the endpoint gets the next one without a pause

  Scenario: Idle connections to an endpoint stay within half of its maximum
    Given a "unsafe" route with a timeout of 12000 ms whose only endpoint has behaviour "answer slowly"
    When 40 callers who wait 12 seconds send requests at once
    Then the instance keeps 25 connections to the endpoint open

  Scenario: A request that is answered between broken attempts does not count as crashing endpoints
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When the same request breaks off 3 times and is answered after each time
    Then it is answered once more

  Scenario: A stream that sends bytes but no event is ended when callers give up waiting
    Given a stream route with a timeout of 20000 ms and a gap target of 100 ms whose only endpoint has behaviour "stream and trickle"
    When a caller with a deadline of 20000 ms sends a request
    Then the connection ends before the response is complete, after 2000 to 3200 ms

  Scenario: A stream that is slow but keeps sending events is not cut
    Given a stream route with a timeout of 20000 ms and a gap target of 100 ms whose only endpoint has behaviour "stream with pauses"
    When a caller with a deadline of 20000 ms sends a request
    Then the caller got every event once, in order, and the stream is complete

  Scenario: A resumable stream that sends no event is resumed at another endpoint
    Given a resumable stream route with a timeout of 20000 ms, one endpoint that stalls and one that streams
    When 2 callers with a deadline of 20000 ms read a stream each
    Then each has every event once, in order, and is complete, comments aside

  Scenario: An instance that starts during an outage of the store uses the newest state that any other has
    Given two instances, of which the first has an old state and takes no reports
    When a third instance that knows only the first one starts during the outage of the store
    Then it is ready with the newest configuration and uses neither the removed key nor the drained endpoint

  Scenario: A request that arrives as the instance is paused is placed where an endpoint is free
    When an instance is paused for 5 s as a request with 8 s left arrives, and an endpoint is free
    Then the request is placed

  Scenario: A request whose time ends as the instance is paused is not placed
    When an instance is paused for 5 s as a request with 4 s left arrives, and an endpoint is free
    Then the request is not placed, and the endpoint carries no load of it

  Scenario: A request that times out while the instance is paused is not sent
    When an instance is paused while a request waits, and an endpoint is free when it resumes
    Then the request is not placed, and the endpoint carries no load of it

  Scenario Outline: A status that promises "not run" is not passed on where the endpoint does not state it
    Given a "<kind>" route whose only endpoint has behaviour "<behaviour>"
    When a caller asks once
    Then it is answered <status>

    Examples:
      | kind      | behaviour          | status |
      | unsafe    | run and answer 408 | 504    |
      | unsafe    | run and answer 429 | 504    |
      | unsafe    | run and answer 503 | 504    |
      | streaming | run and answer 429 | 504    |
      | streaming | run and answer 503 | 504    |
      | safe      | run and answer 429 | 429    |
