Feature: Answers on kept connections to endpoints are matched to their own requests
  A faulty endpoint may write an earlier answer once more, at once or when the connection is used again.

  Scenario Outline: A refusal that is written again is not taken for the answer to a request that runs
    Given a "unsafe" route whose only endpoint writes its first answer, a "<first>", again "<timing>"
    When callers send two requests one after the other, the second with "<id>"
    Then the first is told that it was not run, and the second gets its own response
    And no request that was refused has run, and none has run twice

    Examples: Copies that bear the identifier of the second request, or none as it does
      | first       | timing                           | id          |
      | refusal 503 | with the next request            | the same id |
      | refusal 429 | with the next request            | the same id |
      | refusal 421 | with the next request            | the same id |
      | refusal 503 | after an interim answer          | the same id |
      | refusal 503 | in two reads                     | the same id |
      | refusal 503 | begun at once                    | the same id |
      | refusal 503 | with the next request            | no id       |
      | refusal 503 | with the next request            | an empty id |
      | refusal 503 | without its id                   | no id       |
      | refusal 503 | begun at once and without its id | no id       |
      | refusal 503 | without its id                   | an empty id |

    Examples: Copies that can be told apart
      | first       | timing                | id                |
      | refusal 503 | at once               | the same id       |
      | refusal 503 | with the next request | another id        |
      | refusal 503 | without its id        | another id        |
      | refusal 503 | without its id        | the same id       |
      | refusal 503 | in two reads          | another id        |
      | refusal 503 | begun at once         | another id        |
      | refusal 503 | with two ids          | another id        |
      | refusal 503 | with the next request | an id in capitals |

  Scenario Outline: A part of a head that is written again is not joined to the head of the next answer
    Given a "unsafe" route whose only endpoint writes its first answer, a "<first>", again "<timing>"
    When callers send two requests one after the other, the second with "another id"
    Then the first is told that it was not run, and the second that its outcome is unknown
    And no request that was refused has run, and none has run twice

    Examples:
      | first       | timing                         |
      | refusal 421 | up to its reason phrase        |
      | refusal 503 | up to within its reason phrase |
      | refusal 503 | up to within a field           |
      | refusal 421 | up to within a field           |

  Scenario: A refusal that is written again sends no request that runs to a second endpoint
    Given a "unsafe" route whose two endpoints each write their first answer, a "refusal 503", again
    When callers send two requests one after the other, the second with "the same id"
    Then no request that was refused has run, and none has run twice
    And the first is told that it was not run, and the second gets its own response

  Scenario Outline: The next request is not sent behind the first bytes of an answer that nobody asked for
    Given a "unsafe" route whose only endpoint writes its first answer, a "success", again "<timing>"
    When callers send two requests one after the other, the second with "another id"
    Then both get their own responses
    And the requests arrived on 2 connections

    Examples:
      | timing                        |
      | begun at once and never ended |
      | begun at once                 |
      | an interim answer at once     |

  Scenario Outline: A request with an unusual header gets its response, and no deadline passes meanwhile
    Given a "unsafe" route whose only endpoint writes its first answer, a "success", again "with the next request"
    When a caller sends a "<method>" request with "<header>"
    Then it is answered <status>, within half of its time
    And the endpoint ran <runs> requests, with the id "<id>"

    Examples:
      | method | header                                                 | status | runs | id |
      | POST   | X-Attempt-Id: a1 \t                                    | 200    | 1    | a1 |
      | POST   | Host: models.example \t                                | 200    | 1    | a1 |
      | POST   | X-Attempt-Id: a1\r\nX-Attempt-Id: a1                   | 200    | 1    | a1 |
      | POST   | X-Attempt-Id: a1\r\nX-Attempt-Id: a2                   | 400    | 0    |    |
      | POST   | X-Attempt-Id: a1\r\nX-Attempt-Id:                      | 400    | 0    |    |
      | POST   | X-Attempt-Id: a1\r\nConnection: x-attempt-id, host     | 200    | 1    | a1 |
      | HEAD   | X-Attempt-Id: a1                                       | 200    | 1    | a1 |

  Scenario Outline: An answer without an identifier to the first request of a connection is its own
    Given a "<kind>" route whose only endpoint has behaviour "<behaviour>"
    When a caller sends a "POST" request with "X-Attempt-Id: a1"
    Then it is answered <status>, within half of its time
    And the answer has the id "a1"

    Examples:
      | kind      | behaviour                   | status |
      | unsafe    | answer without an id        | 200    |
      | streaming | answer without an id        | 200    |
      | unsafe    | fail without an id          | 500    |
      | unsafe    | fail unsigned without an id | 502    |
      | unsafe    | refuse without an id        | 503    |

  Scenario Outline: An endpoint that refuses a request before it has read its body gets no other bytes for the rest
    Given a "unsafe" route whose only endpoint refuses requests with <size> bytes before it reads these
    When callers send a request with <size> bytes and then one without
    Then the first is told that it was not run, and the second gets its own response
    And the endpoint read <size> bytes as the body of the first

    Examples:
      | size    |
      | 19000   |
      | 6000000 |

  Scenario Outline: Fields behind the chunks of a body change no header field
    Given a "unsafe" route whose only endpoint writes its first answer, a "stream with a trailer", again "with the next request"
    When a caller sends a request in chunks with "<field>" behind them
    Then it is answered 200, within half of its time
    And the endpoint ran 1 requests, with the id "a1"

    Examples:
      | field                   |
      | X-Other: b              |
      | X-Attempt-Id: a2        |
      | Host: other.example     |
      | Authorization: Token no |

  Scenario: Requests with identifiers of their own share few connections
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When callers send 300 requests one after the other, each with an id of its own
    Then all are answered on 2 connections

  Scenario Outline: A success that is written again is not taken for the answer to another request
    Given a "<kind>" route whose only endpoint writes its first answer, a "<first>", again "<timing>"
    When callers send two requests one after the other, the second with "<id>"
    Then both get their own responses
    And no request that was refused has run, and none has run twice

    Examples:
      | kind      | first   | timing                | id          |
      | unsafe    | success | with the next request | the same id |
      | unsafe    | success | in two reads          | the same id |
      | unsafe    | success | with the next request | no id       |
      | unsafe    | success | with the next request | another id  |
      | unsafe    | success | at once               | the same id |
      | streaming | stream  | with the next request | the same id |
      | streaming | stream  | in two reads          | the same id |
      | streaming | stream  | with the next request | no id       |
      | streaming | stream  | with the next request | another id  |

  Scenario: An answer of the store that is written again is not taken for one about another table
    Given an instance whose store writes each answer again before the next one on its connection
    When the endpoint leaves, another one takes its place, and a route is added, 4 times
    Then each time the new route is served by the new endpoint

  Scenario: An endpoint that comes back at another address gets its requests there
    Given a "unsafe" route whose only endpoint has behaviour "answer"
    When its entry names another address, where it listens, and a caller sends 3 requests
    Then they are answered from there
