Feature: Endpoints say in their responses that they are leaving, or request a backoff
  An endpoint that wants no requests for a while answers 503 with Retry-After: it requests a
  backoff, which log events, metrics and errors call a rest. Each instance applies what it was told
  itself, and reports leaving endpoints to the others.

  Scenario: An endpoint that says in a response that it is leaving gets no more requests
    Given a "safe" route with two endpoints that answer
    When the endpoint in use says in a response that it is leaving, which the store does not show
    Then it gets no more requests, the other one answers, and callers do not see the header

  Scenario: The other instances are told that an endpoint is leaving
    Given two instances, one of which sees the store outage "busy"
    When the endpoint in use says in a response that it is leaving, which the store does not show
    Then the other instance does not use it either

  Scenario: An endpoint at a reused address does not affect the one that had the address before
    Given a "safe" route with two endpoints that answer
    When another endpoint at the address of one of them says that it is leaving
    Then the one that had the address does not count as leaving

  Scenario: An endpoint that requested a backoff gets no requests until the backoff is over
    Given a "safe" route with two endpoints that answer
    When the endpoint in use rejects a request and requests a backoff of 0.8 s, and callers go on
    Then it gets no requests for 0.8 s and one after that, and all are answered

  Scenario: Requests to a service are refused at once during the backoffs of all its endpoints
    Given a "safe" route with two endpoints that answer
    When both endpoints reject requests and request backoffs of 1.5 s, and callers go on
    Then requests are refused as not run within 50 ms, with Retry-After set to the end of the first backoff

  Scenario Outline: An invalid backoff is ignored, and a very long one is limited
    Given a "safe" route with two endpoints that answer
    When the endpoint in use rejects a request with Retry-After "<stated>"
    Then its backoff lasts <seconds> s

    Examples:
      | stated                        | seconds |
      | 0.5                           | 0.5     |
      | -3                            | 0       |
      | soon                          | 0       |
      | nan                           | 0       |
      | inf                           | 0       |
      | Fri, 04 Dec 2026 12:00:00 GMT | 0       |
      | 1e9                           | 600     |

  Scenario: A request whose endpoint requests a backoff after the placement goes to another endpoint
    Given a "safe" route with two endpoints that answer
    When an endpoint requests a backoff while a connection to it is being opened
    Then the request is answered by the other one
