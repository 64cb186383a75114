Feature: A response whose head was sent takes no second head
  A stream that has begun and breaks off is resumed or ends incomplete; nothing else follows it.

  Scenario Outline: A stream that broke off gets nothing of an answer that does not resume it
    Given a resumable stream route with one endpoint that breaks off and one of behaviour "<answer>"
    When a caller reads a stream that breaks off first, byte by byte
    Then its bytes are one head and 2 events, without an end

    Examples:
      | answer                   |
      | fail                     |
      | not found                |
      | full                     |
      | misdirected              |
      | answer                   |
      | answer unsigned          |
      | answer without length    |
      | answer short             |
      | answer after a stray one |
      | break off                |
      | noise without end        |
      | events without ids       |
      | events of another type   |
      | no content               |
      | accepted                 |
      | an empty body            |
      | only comments            |
      | only old events          |

  Scenario: A late answer in the middle of a stream, and an error to the request that resumes it, reach no caller
    Given a resumable stream route with one endpoint of behaviour "stream and late answer" and one of behaviour "fail"
    When a caller reads a stream byte by byte
    Then its bytes are one head and 2 events, without an end

  Scenario Outline: A stream whose last event has no numeric id is not resumed, as its place is not known
    Given a resumable stream route with one endpoint of behaviour "<first>" and one of behaviour "stream"
    When a caller reads a stream byte by byte
    Then its bytes are one head and 2 events of the first endpoint, without an end
    And the second endpoint ran 0 requests

    Examples:
      | first                           |
      | events without ids and cut      |
      | an event without an id and cut  |
      | an event with an odd id and cut |

  Scenario: A stream of nothing but comments that breaks off is begun again elsewhere
    Given a resumable stream route with one endpoint of behaviour "only comments and cut" and one of behaviour "stream"
    When a caller reads a stream byte by byte
    Then its bytes are one head and 6 events, with an end

  Scenario: A stream that broke off is resumed by a third endpoint after the second one answered with an error
    Given a resumable stream route with endpoints that break off, fail and stream, of which 3 may be tried
    When a caller reads a stream that breaks off first, byte by byte
    Then its bytes are one head and 6 events, with an end

  Scenario: An event whose write was cancelled before its first byte is not taken for forwarded
    Given a relay of events to a connection
    When the write of the first event is cancelled, and another endpoint starts over
    Then the caller got the head and every event once

  Scenario: A response that was cut by a cancelled write takes no further byte
    Given a response to a caller that does not read
    When a write is cancelled midway, and an error and a chunk are written after it
    Then both writes are refused, and the caller got only the part before them

  Scenario: The caller of a pipelined request is told to continue only after the response before it
    Given a "streaming" route whose only endpoint has behaviour "stream"
    When a caller reads a stream, and sends the head of a request that waits to be told to continue meanwhile
    Then the caller reads the stream to its end, then the word to continue, then the second stream

  Scenario: A caller that resets its connection as it is told to continue does not end the instance
    Given a "safe" route whose only endpoint has behaviour "answer"
    When 5 callers send the head of a request that waits to be told to continue, and reset their connections
    Then another caller is still served

  Scenario: An event id that is too long for a number ends neither the stream nor the instance
    Given a resumable stream route with only one endpoint, of behaviour "stream with a long id"
    When a caller reads a stream byte by byte
    Then its bytes are one head, 6 events and an event with a long id, with an end

  Scenario: A handler that fails ends its own connection alone
    Given a listener whose handler fails for one path
    When a caller asks for that path while another waits for its response
    Then the other caller gets its response, and so does a new one

  Scenario: An error to a HEAD request has no body that the next response would follow
    Given a "safe" route whose only endpoint has behaviour "answer"
    When a caller asks by HEAD without a key, and then by POST on the same connection
    Then the two responses are read without a byte between them

  Scenario Outline: A request that asks for another protocol is refused once, and reaches no endpoint
    Given a "safe" route whose only endpoint has behaviour "answer"
    When a caller sends "<method>" with "<fields>" and a body
    Then it is answered 400 once, and the endpoint ran nothing

    Examples:
      | method  | fields                                   |
      | POST    | Connection: Upgrade\r\nUpgrade: h2c      |
      | GET     | Connection: Upgrade\r\nUpgrade: websocket |
      | CONNECT | X-Other: 1                               |

  Scenario: An answer in two transfer codings that breaks off is not taken for complete
    Given a "unsafe" route whose only endpoint has behaviour "answer in two codings"
    When a caller asks once
    Then it is answered 502

  Scenario Outline: An answer that cannot be the endpoint's own is not passed on
    Given a "<kind>" route whose only endpoint has behaviour "<behaviour>"
    When a caller asks once
    Then it is answered 502

    Examples:
      | kind      | behaviour       |
      | unsafe    | an encoded body |
      | streaming | an encoded body |
      | unsafe    | an odd status   |
      | streaming | an odd status   |

  Scenario: An encoded body is passed on to a caller that accepts one
    Given a "unsafe" route whose only endpoint has behaviour "an encoded body"
    When a caller asks once and accepts gzip
    Then it is answered 200

  Scenario: A caller is not told to continue behind a response that closes the connection
    Given a "streaming" route whose only endpoint has behaviour "stream"
    When an instance stops while a caller reads a stream, behind which a request waits to be told to continue
    Then its bytes are one head and 6 events, with an end

  Scenario: A handler that leaves its response unfinished has its connection closed
    Given a listener whose handler sends a part of its response only
    When a caller sends two requests on one connection
    Then its bytes are one head and 1 events, without an end
