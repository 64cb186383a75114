Feature: A request that crashes endpoints is refused, and concurrent requests complete

  Scenario: A request crashes each endpoint that runs it and its caller sends it again
    Given a small fleet of 4 engines
    When 12 chats run and a request that crashes its engine is sent through router-0
    Then the request is refused as crash_suspected
    And at most 3 engines crashed
    And every concurrent chat is complete
    When the same request is sent again through router-1
    Then the request is refused as crash_suspected
    And at most 3 engines crashed

  Scenario: Chats that share a message which crashes engines are refused, although no two are alike
    Given a small fleet of 4 engines
    When 8 chats that share a message which crashes engines are sent, no two alike
    Then at most 8 engines crashed

  Scenario: An engine crashes after the caller of a stream received its first tokens
    Given a small fleet of 4 engines
    When an engine crashes while it streams and the caller sends the same request again
    Then the second response is complete

  Scenario: Crash verdicts spread in any order and are never downgraded
    Given crash registries of 3 processes
    When they record crashes and exchange verdicts in any order
    Then a request is guilty at exactly those processes that received a guilty verdict
