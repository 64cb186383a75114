Feature: Fair-share decisions agree with simple reference implementations

  Scenario: Service totals are correct if reports are lost, repeated, reordered or relayed after a partition
    Given routers that receive the reports of sidecars
    When reports arrive in any order, repeated, and relayed by other routers
    Then the sum without one sidecar equals that of the reference implementation

  Scenario: The virtual time of an account follows the service that it received
    Given a single sidecar that grants, meters and settles requests
    When requests of any cost are granted, metered and settled
    Then every virtual time equals the served cost plus the open estimates, divided by the weight

  Scenario: A single slot is granted to the least-served account
    Given two accounts of any weights that are always backlogged on one slot
    When requests of any cost run to completion
    Then their normalized service differs by at most twice the largest normalized cost

  Scenario: An account that used little of its share has no later claim to the unused part
    Given a slot that one account used for a minute, with one request per second of another account
    When both are backlogged for 400 grants
    Then each of the two gets half of the grants, within two grants
