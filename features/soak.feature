Feature: Promises hold while faults are injected from outside
  Entry instances run as processes; proxies and signals disturb them, and what callers,
  endpoints and the store see is checked. docs/design/soak.md tells how.

  Scenario: Seeded soaks with overlapping faults keep every promise
    When the soak runs the seeds 1 to 3
    Then no run finds a violation

  Scenario: The soak notices a promise that is broken
    When the soak runs instances with one mechanism disabled
      | mutant              | seed | check               |
      | repeat_anything     | 5    | check_answers       |
      | forget_leaving      | 38   | check_draining      |
      | first_configuration | 57   | check_configuration |
      | second_head         | 3    | check_bytes         |
      | any_rest            | 1    | check_answers       |
      | early_continue      | 1    | check_bytes         |
    Then the named check of each run finds a violation

  Scenario: Each check finds what it is for
    When histories that each violate one guarantee are checked
    Then only the check of that guarantee reports a violation

  Scenario: A plan is the same for the same seed
    When plans are generated twice from many seeds
    Then both plans of a seed are equal, and all their faults end within the fault phase
