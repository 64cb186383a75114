Feature: The limits of a contract hold across all routers, and retries are bounded

  Scenario: The rate limit holds for all routers together
    Given a small fleet
    And an operator created a contract for steady with a rate of 6 per second
    When the account steady sends requests to both routers as fast as it can for 6 seconds
    Then at most 6 requests per second and one burst were served

  Scenario: The concurrency limit holds for all routers together
    Given a small fleet
    And an operator created a contract for steady with a concurrency of 6
    When the account steady keeps 20 chats open through both routers for 4 seconds
    Then at most 6 of them ran at any time

  Scenario: An unreachable endpoint is avoided without a retry storm
    Given a small fleet
    When 400 chats are sent while one engine is unreachable
    Then at least half of the chats are answered, no other one ran, and retries stay within their budget
    And attempts at the unreachable endpoint stay within its backoff

  Scenario: An account that floods fills only its own queue and does not affect others
    Given a small fleet
    And an operator created a contract for flooders with a queue of 9
    When the account flooders sends 60 chats at once while the account families sends 10
    Then chats of flooders are refused as queue_full immediately
    And every chat of families gets a complete response
