Feature: Sidecars limit admission to engines without priorities, and only one at a time gives orders

  Scenario: The admission window shrinks while first tokens are late and grows again afterwards
    Given an admission window of 16 slots with a target of 1 second
    When first tokens take 2 seconds for 10 seconds
    Then the window is at most what ten reductions by a fifth leave
    When first tokens take 0.1 seconds for 400 requests
    Then the window has its full size again

  Scenario: An announced model is loaded before new requests run
    Given a small fleet of 1 engines
    When the operator announces engine-0 with the model farewell-2
    Then the engine has loaded farewell-2, and the fencing tokens of its orders increase
    And a chat gets a complete response again

  Scenario: An engine that checks fencing tokens rejects the order of a superseded sidecar
    Given an engine that checks fencing tokens and its sidecar
    When its sidecar is frozen, a successor takes over and loads another model
    And the frozen sidecar resumes and an order is sent with its old token
    Then the engine rejects the old token

  Scenario: A successor waits for a frozen sidecar if the engine ignores fencing tokens
    Given an engine that ignores fencing tokens and its sidecar
    When its sidecar is frozen and a successor is told to load another model
    Then the successor sends no order while the frozen sidecar can resume
    When the frozen sidecar is killed
    Then the successor sends its order
