@shared_fleet
Feature: A caller's request goes through router, sidecar and endpoint and back

  Background:
    Given the shared fleet

  Scenario: A streamed chat request gets a complete response
    When the account mothers streams a chat of 40 tokens through router-0
    Then the response is complete and belongs to the request

  Scenario: A chat request without streaming gets a complete response
    When the account mothers requests a chat of 25 tokens without streaming through router-1
    Then the response is complete and belongs to the request

  Scenario: A GET request to a plain service is answered
    When the account mothers sends the request GET /services/orders/status through router-0
    Then the status is 200

  Scenario: Headers and the encoded path of a service call are forwarded
    When the account mothers sends a call with X-Caller-Note to charges%2Fmay through router-0
    Then the status is 200
    And the response has the service's headers, the note and the path

  Scenario: The spans of one request belong to one trace
    When the account mothers streams a chat of 3 tokens through router-0
    Then the trace named in the response has spans of router, sidecar and endpoint

  Scenario Outline: An invalid request is refused and not executed: <case>
    When a caller sends an invalid request, <case>, through router-0
    Then the status is <status>
    And the problem is <kind> and the request was not executed
    And no endpoint received the request

    Examples:
      | case              | status | kind                     |
      | malformed JSON    | 400    | malformed_request        |
      | no messages       | 400    | malformed_request        |
      | unknown model     | 404    | pool_unknown             |
      | unknown service   | 404    | pool_unknown             |
      | forbidden pool    | 403    | pool_not_allowed         |
      | no credential     | 401    | unauthenticated          |
      | wrong secret      | 401    | unauthenticated          |
      | unknown account   | 401    | unauthenticated          |
      | retired account   | 403    | account_retired          |
      | body too large    | 413    | body_too_large           |
      | no key            | 400    | idempotency_key_required |

  Scenario: A header block over the limit is refused
    When the account mothers sends a header block over the limit through router-0
    Then the status is 431

  Scenario: An idempotency key that is reused with another body is refused
    Given the account mothers sent a call with an idempotency key through router-0
    When the account mothers sends another body with that key through router-1
    Then the status is 422
    And the problem is idempotency_key_reused and the request was not executed

  Scenario: A repeat of a finished call gets the first response
    Given the account mothers sent a call with an idempotency key through router-0
    When the account mothers repeats that call through router-1
    Then the status is 200
    And the response equals the first one
    And the services executed the call once

  Scenario: A large first response is repeated completely
    Given the account mothers sent a call with an idempotency key and a response of 100000 bytes through router-0
    When the account mothers repeats that call through router-1
    Then the status is 200
    And the response equals the first one

  Scenario: Requests beyond the rate limit are refused immediately with Retry-After
    When the account slow sends 8 chats of 1 tokens at once through router-0
    Then some are refused as rate_exceeded with Retry-After
    And every other response is complete

  Scenario: Requests beyond a full queue are refused immediately with Retry-After
    When the account narrow sends 6 chats of 200 tokens at once through router-0
    Then some are refused as queue_full with Retry-After
    And every other response is complete

  Scenario: A process without the fleet's key is rejected
    When a process without the fleet's key sends a heartbeat, a run order and a grant offer
    Then each is refused as unauthenticated
