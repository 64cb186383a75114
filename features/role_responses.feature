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

  Scenario: A stream whose transfers all break leaves no answer open that nobody reads
    Given a sidecar that breaks off every transfer of a stream
    When a router reads the stream to its end
    Then the sidecar was asked for 5 transfers and the stream is not whole

  Scenario: Events that a plain service sends are passed on unchanged
    Given a sidecar of a plain service that answered with events and no end marker
    When a router sends it a call
    Then the router has the whole response with the headers of the service

  Scenario: An answer of a sidecar with unreadable headers fails only its request
    Given a sidecar whose answers state unreadable headers of the endpoint
    When a router sends it a call
    Then the router reports that the outcome is unknown

  Scenario Outline: An answer of a sidecar whose headers are no object fails only its request
    Given a sidecar whose answers state <headers> as the headers of the endpoint
    When a router sends it a call
    Then the router reports that the outcome is unknown

    Examples:
      | headers |
      | [1]     |
      | 5       |
      | null    |

  Scenario: A suspect whose router leaves while it waits does not keep its endpoint to itself
    Given the slots of a sidecar whose endpoint runs a request
    When a router sends a suspect and leaves before the endpoint is idle
    Then the sidecar offers its other slots again

  Scenario: A request that may have run is not answered with a status that promises it has not
    Given failures of every kind of requests that ran or may have run
    When a role answers with them
    Then no status is 408, 421, 429 or 503

  Scenario Outline: What an endpoint sets in one call is not sent with the next one
    Given a <kind> that sets a cookie in its answers
    When a sidecar sends it two calls one after the other
    Then no call has a cookie

    Examples:
      | kind    |
      | engine  |
      | service |

  Scenario: An engine is not asked to encode its answers
    Given an engine that answers
    When a sidecar sends it a streaming call
    Then the call asks for no encoding

  Scenario Outline: A call that did not reach the endpoint does not shorten its backoff
    Given the runs of a sidecar whose endpoint took no call, and claims that return <claim>
    When a call with a key runs and the endpoint takes no call again
    Then the backoff of the endpoint is twice as long

    Examples:
      | claim    |
      | a replay |
      | a refusal |

  Scenario: An error within one run neither ends the sidecar nor keeps its slot
    Given the runs of a sidecar whose client raises an error that nobody expects
    When a call with a key runs
    Then its outcome is unknown, and is recorded so, and its slot is free

  Scenario: Header values outside ASCII reach the endpoint as the caller sent them
    Given a sidecar and a plain service that answer
    When a router passes on a call with the header value "café" and the key "clé"
    Then the service gets both in the caller's encoding

  Scenario: A refusal of a sidecar that is for another request refuses no call
    Given a sidecar that writes the refusal of another request before its answer
    When a router sends it a call
    Then the router has the answer to its own call

  Scenario: A refusal of an earlier attempt that is written once more refuses no later attempt
    Given a sidecar that writes its refusal of the first attempt of a request twice
    When a router sends it two attempts of the request one after the other
    Then the router has the answer to its own call

  Scenario: A transfer that is written once more is not spliced into the stream
    Given a sidecar that writes the first of two transfers of a stream twice
    When a router reads the stream to its end
    Then the router has the events of both transfers, each once

  Scenario: A sidecar repeats the identifier of the exchange in all its responses
    Given a sidecar without a configuration
    When it gets a run order, one without the fleet's key, one that is unreadable and one of no route
    Then each response has the identifier of its exchange

  Scenario Outline: A refusal that does not rule out that the request ran is not placed again
    Given a router whose sidecar refuses a call that may not be repeated as <kind>, and that it ran is <ran>
    When a caller sends the call
    Then the sidecar gets it <count> times and the caller is told <status>

    Examples:
      | kind                | ran     | count | status |
      | sidecar_busy        | unknown | 1     | 504    |
      | sidecar_leaving     | yes     | 1     | 502    |
      | sidecar_unconfirmed | unknown | 1     | 504    |
      | sidecar_busy        | no      | 2     | 200    |

  Scenario Outline: A path reaches the endpoint as the caller sent it
    Given a <kind> that sets a cookie in its answers
    When a sidecar sends it a call of the path "<path>"
    Then the endpoint gets that path

    Examples:
      | kind    | path           |
      | service | /a/../b//./c   |
      | service | /a#b?c=/d&e=%2f |
      | engine  | /a/../b        |

  Scenario: A stream that breaks off within an event ends with an error event of its own
    Given a router whose stream breaks off within its second event
    When its caller reads the stream to its end
    Then it gets the first event and then an error event, and nothing between them

  # Guards against a sidecar that runs out of memory, since a body without end is kept whole.
  Scenario Outline: A body without end is given up by a sidecar that has to keep it whole
    Given a <kind> that answers a call with a body of 60 MB
    When a sidecar that keeps 1 MB sends it a call with an Idempotency-Key
    Then the call fails as "response_too_large", may have run, and took at most 8 MB

    Examples:
      | kind    |
      | service |
      | engine  |
