Feature: Endpoints in trouble that send bytes without an end
  The caller has its answer in its time, and neither memory nor the next caller feels it.

  Scenario Outline: Bytes without an end are no answer
    Given a "<kind>" route whose only endpoint has behaviour "<behaviour>"
    When a caller sends a request, and another one after the endpoint is sound again
    Then the first is answered <status> within 600 ms, in 2 MB of memory
    And the endpoint's connection was closed, it counts as failing, and the second is its own

    Examples:
      | kind      | behaviour                       | status |
      | unsafe    | noise without end               | 502    |
      | unsafe    | a field without end             | 502    |
      | unsafe    | fields without end              | 502    |
      | unsafe    | interim answers without end     | 502    |
      | unsafe    | answers to others without end   | 502    |
      | unsafe    | a body without end              | 502    |
      | unsafe    | chunks without end              | 502    |
      | unsafe    | a chunk size without end        | 502    |
      | unsafe    | a chunk extension without end   | 502    |
      | unsafe    | trailers without end            | 502    |
      | unsafe    | a length beyond all bounds      | 502    |
      | streaming | a field without end             | 502    |
      | streaming | a chunk extension without end   | 502    |

  Scenario Outline: What follows a whole answer without an end reaches nobody
    Given a "unsafe" route whose only endpoint has behaviour "<behaviour>"
    When a caller sends a request, and another one after the endpoint is sound again
    Then the first is answered 200 within 600 ms, in 2 MB of memory
    And the endpoint's connection was closed, and the second is its own

    Examples:
      | behaviour                                |
      | an answer and then bytes without end     |
      | an answer, a pause and bytes without end |

  Scenario: An event without an end ends the stream, which does not look whole
    Given a "streaming" route whose only endpoint has behaviour "an event without end"
    When a caller sends a request, and another one after the endpoint is sound again
    Then the first ends within 600 ms after its whole events, not looking whole, in 3 MB of memory
