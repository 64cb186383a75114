Feature: Bytes without end from a faulty endpoint take neither memory nor time from others

  # Guards against a process that runs out of memory, or lets sound callers wait, since an
  # endpoint sends bytes that are no answer to many requests at once.
  Scenario Outline: Many requests meet an endpoint that sends bytes without end
    Given an entry process of 150 MB beside an endpoint that sends <shape> without end
    When <requests> "<kind>" requests for it arrive at once, and sound ones beside them
    Then the process takes less than its memory, and none of them gets a whole answer
    And each sound one is answered, and 95 in 100 of them within 1 second

    Examples:
      | requests | kind      | shape                    |
      | 100      | unsafe    | small fields             |
      | 300      | unsafe    | small fields             |
      | 100      | unsafe    | one field                |
      | 300      | unsafe    | one field                |
      | 100      | unsafe    | interim responses        |
      | 300      | unsafe    | interim responses        |
      | 100      | unsafe    | other answers            |
      | 300      | unsafe    | other answers            |
      | 100      | unsafe    | a body without a length  |
      | 300      | unsafe    | a body without a length  |
      | 100      | unsafe    | a body with a length     |
      | 300      | unsafe    | a body with a length     |
      | 100      | unsafe    | chunks                   |
      | 300      | unsafe    | chunks                   |
      | 100      | unsafe    | small chunks             |
      | 300      | unsafe    | small chunks             |
      | 100      | unsafe    | a chunk extension        |
      | 300      | unsafe    | a chunk extension        |
      | 100      | unsafe    | trailers                 |
      | 300      | unsafe    | trailers                 |
      | 100      | streaming | an event                 |
      | 300      | streaming | an event                 |
      | 100      | streaming | an event in small chunks |
      | 300      | streaming | an event in small chunks |
      | 100      | streaming | comments                 |
      | 300      | streaming | comments                 |
      | 100      | unsafe    | noise                    |
      | 300      | unsafe    | noise                    |

  # Guards against a flood with each request that is sent to an endpoint that floods all of them.
  Scenario: An endpoint that floods some requests gets no more for a while, then few
    Given an entry process of 150 MB beside an endpoint that sends chunks without end
    When 6 requests for it come one after the other, and 6 once its time without work is over
    Then 3 of the first and 1 of the last reach it, told 502 "response_too_large" with shape and bytes in the log
    And the others are told 503 at once with a time to come back

  # Guards against large answers that are given up since others flood the memory for them.
  Scenario: Large sound answers arrive whole beside an endpoint that floods
    Given an entry process of 150 MB beside an endpoint that sends a body with a length without end
    When 100 requests for it arrive at once, and 8 for sound answers of 4 MB beside them
    Then the process takes less than its memory, and all sound answers are whole

  # Guards against callers that take the memory for all: with bodies that do not end, with kept
  # connections after their bodies, or by reading large answers slowly.
  Scenario Outline: Callers that hold much memory take none from others
    Given an entry process of 150 MB beside an endpoint that sends chunks without end
    When <callers> callers <act>, and sound requests come beside them
    Then the process takes less than its memory, and nothing that did not run is told to have run
    And each sound one is answered, and 95 in 100 of them within 1 second

    Examples:
      | callers | act                                       |
      | 100     | send 1 MB of a body that does not end     |
      | 300     | send 1 MB of a body that does not end     |
      | 1500    | keep their connections after long bodies  |
      | 100     | read no answer of 4 MB                    |

  # Guards against a shape that escapes the bounds because of where its bytes are cut.
  Scenario: Floods of any shape that are cut anywhere hold a bounded amount
    When floods of every shape but comments arrive in pieces of any length
    Then each holds at most 256 KB at any time, until it is given up or its body has no bound here

  # Guards against a sum that parts from what the messages hold, and messages that wait for ever.
  Scenario: The bytes held are the sum over all messages, whatever becomes of them
    When messages of some sources grow, pause, end and are given up in any order
    Then the sum is right at each step, within its bound, and nobody is left waiting
