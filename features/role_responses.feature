Feature: Routers and sidecars pass on only what belongs to the request, whole and once

  Scenario Outline: An earlier refusal that an endpoint wrote once more refuses no other call
    Given a <kind> that writes an earlier refusal once more behind its next answer
    When a sidecar sends it two calls one after the other
    Then the second call gets its own answer

    Examples:
      | kind    |
      | engine  |
      | service |

  Scenario Outline: Nothing is spliced behind a broken stream that is not the rest of it
    Given an engine that breaks off a stream and answers the request for the rest with <answer>
    When a sidecar sends it a streaming call
    Then the response has the events before the break and is not complete

    Examples:
      | answer                    |
      | a success without events  |
      | an error                  |
      | another request's stream  |
      | nothing                   |

  Scenario Outline: No stream is spliced into the response to a call that asked for none
    Given an engine that breaks off <part> and answers the request for the rest with a stream
    When a sidecar sends it a call without streaming
    Then the response is <part> and is not complete

    Examples:
      | part            |
      | before the head |
      | within the body |
