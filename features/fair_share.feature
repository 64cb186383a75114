Feature: Each client account gets its fair share of the whole fleet

  Bounds are worked out by docs/design/fair-share.md: largest request cost times (slots + 2),
  plus twice the report interval times the fleet's rate.

  Scenario: Backlogged accounts stay within the bound and no slot idles
    Given a model fleet of 3 engines with 2 slots and 2 routers
    When every account is backlogged for 12 seconds
    Then the fairness gap is within the bound
    And the slots are used as far as one message exchange for each request allows

  Scenario: The smallest contract progresses at its share beside a flood
    Given a model fleet of 3 engines with 2 slots and 2 routers
    When the largest account floods one router for 12 seconds
    Then the fairness gap is within the bound
    And the smallest account got at least half of its share

  Scenario: An account that slept wakes without saved-up credit
    Given a model fleet of 3 engines with 2 slots and 2 routers
    When an account sleeps for 14 seconds and is backlogged for 6 more
    Then the fairness gap since it woke is within the bound

  Scenario: A router that was cut off rejoins
    Given a model fleet of 3 engines with 2 slots and 2 routers
    When a router is frozen from second 3 to second 8 of 16 seconds of backlog
    Then the fairness gap since its return is within the bound

  Scenario: A sidecar is replaced and remembers nothing
    Given a model fleet of 3 engines with 2 slots and 2 routers
    When a sidecar is killed and replaced at second 4 of 14 seconds of backlog
    Then the fairness gap is within the bound

  Scenario: An endpoint joins and is used
    Given a model fleet of 3 engines with 2 slots and 2 routers
    When an endpoint joins at second 4 of 14 seconds of backlog
    Then the fairness gap is within the bound
    And the endpoint that joined served requests
