Feature: The decisions of the fair share agree with naive versions

  Scenario: Reports are lost, repeated, reordered, relayed and merged after a partition
    Given routers that hear the reports of sidecars
    When reports arrive in any order, repeated, and relayed by other routers
    Then the sum without one sidecar equals that of the naive version

  Scenario: The virtual time of an account follows what it was served
    Given a sidecar alone that grants, meters and settles requests
    When requests of any cost are granted, metered and settled
    Then every virtual time equals the served cost and the open estimates over the weight

  Scenario: One slot is granted to the least served account
    Given two accounts of any weights that are always backlogged on one slot
    When requests of any cost run to their end
    Then their normalized service differs by at most the largest normalized cost twice

  Scenario: An account that asked for little has no claim on one that used what it left
    Given a slot that one account used for a minute, beside one small request a second of another
    When both are backlogged for 400 grants
    Then each of the two gets half of the grants, but for the largest cost twice
