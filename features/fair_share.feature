Feature: Each client account gets its fair share of the whole fleet

  The bound on the fairness gap is derived in docs/design/fair-share.md: the largest request cost
  times (slots + 2), plus twice the report interval times the fleet's rate.

  Scenario: Backlogged accounts stay within the bound and no slot idles
    Given a fleet of 3 emulated engines with 2 slots each and 2 routers
    When every account is backlogged for 12 seconds
    Then the fairness gap is within the bound
    And the slots are as busy as one message exchange per request allows

  Scenario: The smallest account gets its share while the largest one floods a router
    Given a fleet of 3 emulated engines with 2 slots each and 2 routers
    When the largest account floods one router for 12 seconds
    Then the fairness gap is within the bound
    And the smallest account got at least half of its share

  Scenario: An account returns from an idle time without accumulated credit
    Given a fleet of 3 emulated engines with 2 slots each and 2 routers
    When an account is idle for 14 seconds and then backlogged for 6 seconds
    Then the fairness gap since the end of its idle time is within the bound

  Scenario: A router resumes after it was frozen
    Given a fleet of 3 emulated engines with 2 slots each and 2 routers
    When a router is frozen from second 3 to second 8 of 16 seconds of backlog
    Then the fairness gap since the router resumed is within the bound

  Scenario: A sidecar is replaced by one without state
    Given a fleet of 3 emulated engines with 2 slots each and 2 routers
    When a sidecar is killed and replaced at second 4 of 14 seconds of backlog
    Then the fairness gap is within the bound

  Scenario: An endpoint joins and is used
    Given a fleet of 3 emulated engines with 2 slots each and 2 routers
    When an endpoint joins at second 4 of 14 seconds of backlog
    Then the fairness gap is within the bound
    And the endpoint that joined served requests

  Scenario: Slots count as busy while the process of their engine is held up
    Given an emulated engine of 2 slots with steps of 10 ms
    When it runs 2 requests of 100 tokens, and is held up for 1 second in between
    Then its slots were busy for 2 seconds each
