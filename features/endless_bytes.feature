Feature: Faulty endpoints that send endless data
  The caller is answered in time, memory stays bounded, and the next caller is not affected.

  Scenario Outline: An endless response is rejected
    Given a "<kind>" route whose only endpoint has behaviour "<behaviour>"
    When a caller sends a request, and another one after the endpoint has recovered
    Then the first is answered <status> within 600 ms, with at most 2 MB more memory
    And the endpoint's connection was closed, it counts as failing, and the second gets its own response

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

  Scenario Outline: Endless data after a complete response reaches no caller
    Given a "unsafe" route whose only endpoint has behaviour "<behaviour>"
    When a caller sends a request, and another one after the endpoint has recovered
    Then the first is answered 200 within 600 ms, with at most 2 MB more memory
    And the endpoint's connection was closed, and the second gets its own response

    Examples:
      | behaviour                                |
      | an answer and then bytes without end     |
      | an answer, a pause and bytes without end |

  Scenario: A stream with an endless event ends and does not look complete
    Given a "streaming" route whose only endpoint has behaviour "an event without end"
    When a caller sends a request, and another one after the endpoint has recovered
    Then the first ends incomplete within 600 ms, after complete events only, with at most 3 MB more memory
