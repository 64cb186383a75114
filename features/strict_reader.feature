Feature: Emulated callers read responses strictly
  The soak's callers accept nothing but the exact form of the responses that their requests wait for.

  Scenario Outline: Bytes that are part of no response are not taken for a connection that broke
    When a caller that waits for 2 responses reads <bytes>
    Then it reports <violation>

    Examples:
      | bytes                                      | violation                               |
      | a stream with a second head                | bytes where a chunk size is due         |
      | a stream with a part of a second head      | bytes where a chunk size is due         |
      | a chunk that is longer than its size       | bytes where the end of a chunk is due   |
      | a response that is longer than its length  | bytes where a head is due               |
      | three responses                            | bytes although no request waits         |
      | an interim response within a stream        | bytes where a chunk size is due         |
      | an interim response that nothing waits for | an interim response that no request     |
      | a head with two lengths                    | a head with 2 fields that state         |
      | a head with a malformed field              | a malformed head                        |
      | a stream that breaks off within a chunk    | nothing                                 |
      | two responses                              | nothing                                 |

  Scenario Outline: Callers of HTTP/1.0 and of HEAD accept what they asked for
    When a caller that <asks> reads <bytes>, and the connection ends
    Then <count> of its responses are complete, and it reports <violation>

    Examples:
      | asks            | bytes                                      | violation                      | count |
      | speaks HTTP/1.0 | a response that ends with the connection   | nothing                        | 1     |
      | speaks HTTP/1.0 | two responses                              | a head with a malformed length | 0     |
      | asks by HEAD    | a head alone                               | nothing                        | 1     |
      | asks by HEAD    | a response that is longer than its length  | bytes where a head is due      | 1     |
      | asks by POST    | a response behind one that closes          | bytes behind a response that   | 1     |

  Scenario: A fault does not end another one that overlaps it
    When two faults overlap, and the one that began first ends first
    Then the other one lasts until its own end
