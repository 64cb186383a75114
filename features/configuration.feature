Feature: An accepted configuration change takes effect everywhere and is never reverted

  Scenario: A new contract is in force at every router within 12 seconds
    Given a small fleet
    When an operator creates a contract for newcomers
    Then account newcomers is served by every router within 12 seconds

  Scenario: A retired contract is refused everywhere within 12 seconds
    Given a small fleet
    When an operator retires the contract of vets
    Then account vets is refused by every router within 12 seconds

  Scenario: Operators make conflicting changes at the same time
    Given a small fleet
    When 6 operators change the contract of vets from the same version
    Then one change is accepted and the others get a conflict that names its version

  Scenario: A command that reads its settings while other commands start gets all of them
    Given the open settings file of an operator's command
    When another command writes the settings
    Then the first command reads what was written for it

  Scenario: The table's response to an accepted change is lost
    Given a small fleet
    And the table's next response is lost
    When an operator creates a contract for newcomers
    Then account newcomers is served by every router within 12 seconds
    And the configuration holds exactly one change for newcomers

  Scenario: A router starts without a stored configuration while the table is down
    Given a small fleet
    And an operator created a contract for newcomers that is in force
    And the table is down
    When router-0 is replaced by router-9, which starts without a configuration
    Then account newcomers is served by router-9 within 12 seconds

  Scenario: Requests are served while the table and the live list are down
    Given a small fleet
    And the table is down
    And the live list is down
    When 6 seconds pass
    Then account families is served by every router

  Scenario: A stale peer offers an older version
    Given a replica at version 7
    When a peer offers a snapshot of version 5 and the changes 4 to 6
    Then the replica is at version 7 and its content did not change

  Scenario: Changes that arrive late, twice and out of order
    Given changes 1 to 40 of one configuration
    When replicas receive them in any order, repeated, with gaps and snapshots in between
    Then no version ever decreases and equal versions have equal content
