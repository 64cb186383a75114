Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A new contract is in force at every router within 12 seconds
    Given a small fleet
    When an operator creates a contract for newcomers
    Then newcomers are served by every router within 12 seconds

  Scenario: A retired contract is refused everywhere within 12 seconds
    Given a small fleet
    When an operator retires the contract of vets
    Then vets are refused by every router within 12 seconds

  Scenario: Operators race with conflicting changes
    Given a small fleet
    When 6 operators change the contract of vets from the same version
    Then one is accepted and the others get a conflict that names the winner's version

  Scenario: The answer of an accepted change is lost
    Given a small fleet
    And the table loses its next answer
    When an operator creates a contract for newcomers
    Then newcomers are served by every router within 12 seconds
    And the configuration holds exactly one change for newcomers

  Scenario: The table is down and a router restarts with no memory
    Given a small fleet
    And an operator created a contract for newcomers that is in force
    And the table is down
    When router-0 is replaced by router-9 that remembers nothing
    Then newcomers are served by router-9 within 12 seconds

  Scenario: The whole platform is down and requests are still served
    Given a small fleet
    And the table is down
    And the live list is down
    When 6 seconds pass
    Then families are served by every router

  Scenario: A stale peer offers an older version
    Given a replica at version 7
    When a peer offers a snapshot of version 5 and the changes 4 to 6
    Then the replica is at version 7 and its content did not change

  Scenario: Changes that arrive late, twice and out of order
    Given changes 1 to 40 of one configuration
    When replicas receive them in any order, repeated, with gaps and with snapshots between
    Then no version ever falls and equal versions hold equal content
