Feature: Promises hold while faults are injected from outside
  Entry instances run as processes; proxies and signals disturb them, and what callers,
  endpoints and the store see is checked. docs/design/soak.md tells how.

  Scenario: Seeded soaks with overlapping faults keep every promise
    When the soak runs the seeds 1 to 3
    Then no run finds a violation

  Scenario: The soak notices a promise that is broken
    When the soak runs instances with one mechanism disabled, on further seeds until it is found
      | mutant              | seed | kinds         | check               |
      | repeat_anything     | 5    | breaks+faulty | check_answers       |
      | forget_leaving      | 38   | drain         | check_draining      |
      | first_configuration | 57   | configure     | check_configuration |
      | second_head         | 3    | faulty        | check_bytes         |
      | second_head         | 3    | stutter+grey  | check_bytes         |
      | any_rest            | 1    | faulty        | check_answers       |
      | any_answer          | 1    | stutter       | check_answers       |
      | early_continue      | 1    | configure     | check_bytes         |
      | chunks_for_all      | 2    | configure     | check_bytes         |
      | head_bodies         | 2    | configure     | check_bytes         |
      | short_writes        | 2    | configure     | check_bytes         |
      | open_after_close    | 2    | term          | check_bytes         |
      | no_grace            | 2    | term          | check_stops         |
      | late_record         | 1    | cut           | check_once          |
    Then the named check of each run finds a violation

  Scenario Outline: Recovery is counted on the requests during which the machine ran the processes
    When 10 requests and probes to an instance are sent after the fault phase, and <happening>
    Then the check of recovery finds <found>

    Examples:
      | happening                           | found                  |
      | all are served                      | nothing                |
      | 2 requests fail                     | 8 of 10 requests       |
      | 2 requests fail while it is starved | nothing                |
      | 2 requests fail while another is    | 8 of 10 requests       |
      | no probe is sent                    | 0 of 0 probes          |
      | 2 probes fail                       | 8 of 10 probes         |

  Scenario Outline: Only a request that crosses the close of its connection may end a stop without an answer
    When a request is sent on a <connection> connection that ends <seconds> s later within a planned stop, and it <runs>
    Then the check of stops finds <found>

    Examples:
      | connection | seconds | runs     | found               |
      | kept       | 0.1     | runs not | nothing             |
      | new        | 0.1     | runs not | request was cut off |
      | kept       | 0.3     | runs not | request was cut off |
      | kept       | 0.1     | runs     | request was cut off |

  Scenario: Each check finds what it is for
    When histories that each violate one guarantee are checked
    Then only the check of that guarantee reports a violation

  Scenario: A killed instance is started again however long its end takes
    When an instance is killed for 0.1 s, and its process ends only after 0.3 s
    Then it is started once, and counts as disturbed until a second after that

  Scenario: A plan is the same for the same seed
    When plans are generated twice from many seeds
    Then both plans of a seed are equal, and all their faults end within the fault phase
