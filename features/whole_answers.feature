Feature: Every caller receives the whole answer to its own request

  Scenario: The sidecar is frozen while it streams
    Given a small fleet
    When a family streams 200 tokens and the sidecar is frozen for 2 seconds
    Then the answer is whole and its own

  Scenario: The sidecar dies while it streams and another takes its address
    Given a small fleet with fixed sidecar ports
    When a family streams 400 tokens and the sidecar is killed and started again
    Then the answer is whole and its own

  Scenario: The engine crashes while it streams
    Given a small fleet
    When a family streams 200 tokens and the engine crashes
    Then the answer ends with an explicit error

  Scenario: The sidecar dies for good while it streams
    Given a small fleet
    When a family streams 200 tokens and the sidecar is killed
    Then the answer ends with an explicit error

  Scenario: A caller that leaves frees the engine
    Given a small fleet
    When a family leaves after the first token of 2000
    Then no engine runs anything after 5 seconds

  Scenario: Many chats under freezes and crashes stay apart
    Given a small fleet
    When 80 chats run while sidecars freeze and engines crash
    Then the history shows that every answer is its own, whole or marked as cut
