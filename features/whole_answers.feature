Feature: Every caller receives the complete response to its own request

  Scenario: The sidecar is frozen while it streams
    Given a small fleet
    When a caller streams 200 tokens and the sidecar is frozen for 2 seconds
    Then the response is complete and belongs to the request

  Scenario: The sidecar dies while it streams and another takes its address
    Given a small fleet with fixed sidecar ports
    When a caller streams 400 tokens and the sidecar is killed and restarted
    Then the response is complete and belongs to the request

  Scenario: The sidecar dies while it streams and restarts after a delay
    Given a small fleet with fixed sidecar ports
    When a caller streams 400 tokens and the sidecar is killed and restarted 2.5 seconds later
    Then the response is complete and belongs to the request

  Scenario: The engine crashes while it streams
    Given a small fleet
    When a caller streams 200 tokens and the engine crashes
    Then the response ends with an explicit error

  Scenario: The sidecar dies while it streams and does not restart
    Given a small fleet
    When a caller streams 200 tokens and the sidecar is killed
    Then the response ends with an explicit error

  Scenario: A caller that disconnects frees the engine
    Given a small fleet
    When a caller disconnects after the first of 2000 tokens
    Then no engine runs a request after 5 seconds

  Scenario: A request whose first attempt ran is never reported as not executed
    Given a small fleet of 1 engines
    When a caller requests 300 tokens within 6 seconds and the engine dies during the request
    Then the response says that it is unknown whether the request was executed

  Scenario: A response that exceeds the sidecar's buffer is never truncated silently
    Given a small fleet whose sidecars buffer at most 1024 bytes of a response
    When a caller requests 200 tokens without streaming
    Then the response is an error that reports the truncation

  Scenario: An engine returns the response to another request
    Given a small fleet
    When each engine mixes up its next response with another and a caller streams 30 tokens
    Then the response is complete and belongs to the request

  Scenario: Responses to concurrent chats are never mixed up under freezes and crashes
    Given a small fleet
    When 80 chats run while sidecars freeze and engines crash
    Then every response belongs to its own request and is complete or marked as truncated
