Feature: Engines without priorities are not overfilled, and have one holder of orders

  Scenario: The window shrinks while first tokens are late and opens again
    Given an admission window of 16 slots with a target of 1 second
    When first tokens take 2 seconds for 10 seconds
    Then the window is at most what ten decreases by a fifth leave
    When first tokens take 0.1 seconds for 400 requests
    Then the window is fully open

  Scenario: An announced model is loaded before new work
    Given a small fleet of 1 engines
    When the operator announces that engine-0 must load the model farewell-2
    Then the engine has loaded farewell-2 with a rising fencing token
    And a chat is answered whole again

  Scenario: A frozen holder wakes after its successor gave an order to an engine that checks
    Given an engine that checks fencing tokens and its sidecar
    When its sidecar is frozen, a successor takes over and loads another model
    And the frozen sidecar wakes and an order is sent with its old token
    Then the engine refuses the old token

  Scenario: A frozen holder is not overtaken on an engine that ignores tokens
    Given an engine that ignores fencing tokens and its sidecar
    When its sidecar is frozen and a successor is told to load another model
    Then the successor sends no order while the frozen one can wake
    When the frozen sidecar is gone
    Then the successor sends its order
