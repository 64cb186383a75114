Feature: A call that must not be repeated runs at most once

  Scenario: The table's response to a claim is lost after the write took effect
    Given a small fleet
    And the table's next response is lost
    When a caller reserves a slot through router-0
    Then the reservation succeeds
    And the reservation took effect once

  Scenario: The table is down
    Given a small fleet
    And the table is down
    When a caller reserves a slot through router-0
    Then the call is refused as claims_unavailable and was not run
    And the refusal came within 5 seconds and says when to retry
    And the reservation did not take effect
    When the table works normally again
    And the caller repeats the reservation through router-1
    Then the reservation succeeds
    And the reservation took effect once

  Scenario: Several responses of the table in a row are lost
    Given a small fleet
    And the table's next 5 responses are lost
    When a caller reserves a slot through router-0
    And the caller repeats the reservation until it succeeds
    Then the reservation took effect once

  Scenario: A caller repeats the call while it runs
    Given a small fleet
    When a caller starts a reservation that takes 2 seconds through router-0
    And the caller repeats the reservation 6 times at once through router-1
    And the first call has returned
    Then no response says that the call was not run
    And the reservation took effect once

  Scenario: The sidecar is frozen just before it sends the call
    Given a small fleet
    And the table takes 1 seconds to answer
    When a caller starts a reservation that takes 0 seconds through router-0
    And the sidecar that handles the call is frozen before the claim is answered
    And the table works normally again
    And the caller repeats the reservation through router-1
    And the frozen sidecar resumes
    And the first call has returned
    Then the reservation took effect at most once
    And no response says that a call was not run if it ran

  Scenario: The router and the sidecar are killed while the call runs
    Given a small fleet
    When a caller starts a reservation that takes 2 seconds through router-0
    And router-0 and the sidecar that handles the call are killed
    And the caller repeats the reservation through router-1
    Then the response says that the outcome is unknown
    And the reservation took effect once

  Scenario: Many callers repeat their calls during freezes and outages
    Given a small fleet
    When 40 callers each send a call 4 times through both routers during failures
    Then each call took effect at most once and every successful one took effect
