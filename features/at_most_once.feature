Feature: A call that may not repeat runs at most once

  Scenario: The claim's answer is lost after the write took effect
    Given a small fleet
    And the table loses its next answer
    When a family reserves a slot through router-0
    Then the reservation succeeds
    And it took effect once

  Scenario: The table is down
    Given a small fleet
    And the table is down
    When a family reserves a slot through router-0
    Then it is refused as claims_unavailable and was not run
    And the refusal came within 5 seconds and says when to come back
    And it took effect never
    When the table is up again
    And the family repeats the reservation through router-1
    Then the reservation succeeds
    And it took effect once

  Scenario: The table loses every answer for a while
    Given a small fleet
    And the table loses its next 5 answers
    When a family reserves a slot through router-0
    And the family repeats the reservation until it is answered
    Then it took effect once

  Scenario: The family repeats the call while it runs
    Given a small fleet
    When a family starts a reservation that takes 2 seconds through router-0
    And the family repeats the reservation 6 times at once through router-1
    And the first answer has arrived
    Then no answer says that the call was not run
    And it took effect once

  Scenario: The sidecar is frozen just before it sends
    Given a small fleet
    And the table takes 1 seconds to answer
    When a family starts a reservation that takes 0 seconds through router-0
    And the sidecar that holds the call is frozen before the claim is answered
    And the table is up again
    And the family repeats the reservation through router-1
    And the frozen sidecar wakes
    And the first answer has arrived
    Then it took effect at most once
    And no answer says not run of a call that ran

  Scenario: Router and sidecar die together while the call runs
    Given a small fleet
    When a family starts a reservation that takes 2 seconds through router-0
    And router-0 and the sidecar that holds the call are killed
    And the family repeats the reservation through router-1
    Then the answer says that the outcome is unknown
    And it took effect once

  Scenario: Many callers repeat their calls under kills, freezes and outages
    Given a small fleet
    When 40 families each send a call 4 times through both routers under failures
    Then the history shows each effect at most once and every answer true
