Feature: A request that crashes every endpoint is stopped, and those beside it complete

  Scenario: A request crashes each endpoint that runs it and its caller sends it again
    Given a small fleet of 4 engines
    When 12 chats run and a request that crashes its engine is sent through router-0
    Then it is refused as crash_suspected
    And at most 3 engines crashed
    And every chat beside it is whole
    When the same request is sent again through router-1
    Then it is refused as crash_suspected
    And at most 3 engines crashed

  Scenario: A request that crashes its engine after its caller saw the first tokens
    Given a small fleet of 4 engines
    When the engine of a stream crashes and the caller sends the same stream again
    Then the second answer is whole

  Scenario: Verdicts spread in any order and never turn milder
    Given crash registries of 3 processes
    When they record crashes and exchange verdicts in any order
    Then a guilty request is guilty at every process that heard of it
