Feature: Limits follow from the contract and retries stay within bounds

  Scenario: The rate holds in sum over all routers, whoever sees whom
    Given a small fleet
    And an operator created a contract for steady with a rate of 6 per second
    When steady asks both routers as fast as it can for 6 seconds
    Then no more than 6 per second and one burst were served

  Scenario: The concurrency holds in sum over all routers
    Given a small fleet
    And an operator created a contract for steady with a concurrency of 6
    When steady keeps 20 chats open through both routers for 4 seconds
    Then at no time more than 6 ran

  Scenario: An endpoint that is gone is avoided without a storm of retries
    Given a small fleet
    When one engine's process is unreachable while 400 chats are sent
    Then every other chat is answered and attempts stay within the retry budget
    And attempts on the gone endpoint stay within its pauses

  Scenario: A flood is refused at its own queue and others do not feel it
    Given a small fleet
    And an operator created a contract for flooders with a queue of 9
    When flooders send 60 chats at once while families send 10
    Then flooders are refused as queue_full at once
    And every chat of families is whole
