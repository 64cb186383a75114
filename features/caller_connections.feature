Feature: Callers that speak HTTP/1.0, ask by HEAD or do not read
  What is written to a caller can be read by it, and a caller that reads nothing is disconnected.

  Scenario: A stream to an HTTP/1.0 caller has no chunks and ends with the connection
    Given a "streaming" route whose only endpoint has behaviour "stream"
    When an HTTP/1.0 caller reads a stream
    Then it gets 6 events behind a head that states no coding, and the connection closes

  Scenario: A stream that breaks off does not look complete to an HTTP/1.0 caller
    Given a resumable stream route with one endpoint that breaks off and one of behaviour "fail"
    When an HTTP/1.0 caller reads a stream
    Then it gets 2 events behind a head that states no coding, and the connection is reset

  Scenario Outline: A stream that an instance does not end does not look complete to an HTTP/1.0 caller
    Given a listener whose handler sends a part of its response and <then>
    When an HTTP/1.0 caller asks, and the listener is cancelled a moment later
    Then it gets the part, and the connection is reset

    Examples:
      | then     |
      | waits    |
      | fails    |
      | returns  |

  Scenario Outline: A stream whose process is killed does not look complete to an HTTP/1.0 caller
    When a process writes a stream to an HTTP/1.0 caller and <ending>
    Then the caller gets what was written, and its connection <end>

    Examples:
      | ending                        | end      |
      | is killed within it           | is reset |
      | completes it                  | ends     |
      | sends an error in place of it | ends     |

  Scenario: An HTTP/1.0 caller is not told to continue
    Given a "safe" route whose only endpoint has behaviour "answer"
    When an HTTP/1.0 caller sends a request with a body and an expectation to be told to continue
    Then the first bytes that it reads are the head of its response

  Scenario: An error to a HEAD request that is too large has no body
    Given a "safe" route whose only endpoint has behaviour "answer"
    When a caller asks by HEAD with 6000 bytes of header fields
    Then it gets a head with status 431 and nothing behind it

  Scenario Outline: The error to an invalid request is read as the response to it, whatever follows it
    Given a "safe" route whose only endpoint has behaviour "answer"
    When a caller sends "<first>" with two Host fields and "<second>" in one write
    Then it gets status 400 with <body> as "<first>" asks for

    Examples:
      | first | second | body        |
      | HEAD  | GET    | no body     |
      | GET   | HEAD   | a body      |

  Scenario: A caller that reads nothing of its response is disconnected
    Given a response to a caller that does not read
    When 4 megabytes are written to it with a stall time of 0.2 s
    Then the write fails within 2 s, and the response is broken

  Scenario: A caller that reads its response slowly gets all of it
    Given a response to a caller that does not read
    When 4 megabytes are written to it with a stall time of 0.2 s while it reads for longer than that
    Then the whole response arrives

  Scenario: A pipelined request is not too slow while the instance does not read
    Given a listener that takes 0.3 s for each response and waits 0.2 s for the rest of a head
    When a caller sends 5 requests and a part of another one, and the rest of it at once
    Then it gets 6 responses with status 200

  Scenario: A request that waits to be told to continue is not too slow before it is told
    Given a listener that takes 0.5 s for each response and waits 0.2 s for the rest of a body
    When a caller sends a request, and behind it one that waits to be told to continue
    Then it gets 2 responses with status 200

  Scenario: The head of a pipelined request has a time of its own
    Given a listener that takes 0 s for each response and waits 0.4 s for the rest of a head
    When a caller sends two heads, each in two parts 0.3 s apart, the second part of one with the first of the next
    Then it gets 2 responses with status 200

  Scenario Outline: The last response of a connection is not lost because its caller sends more meanwhile
    Given a listener that is stopping and answers with 1 megabyte
    When a caller sends a request, and <more> before it reads the response
    Then the whole response arrives

    Examples:
      | more                      |
      | another one               |
      | six others                |
      | another one a moment later |
