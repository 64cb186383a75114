Feature: A part of prompts that crashes endpoints is found out over the whole fleet

  Scenario Outline: Requests share nothing but the part that crashes each endpoint that answers it
    Given <instances> instances and 12 engines that end whenever they begin on the part "bad"
    When "<kind>" requests with that part come among sound ones with the same account and first part
    Then at most 3 of them reach engines later than 3 seconds after the fifth crash
    And sound requests are served at least half as often as before
    And the callers of the others are told at once that their requests crash endpoints

    Examples:
      | instances | kind      |
      | 1         | streaming |
      | 3         | streaming |
      | 3         | safe      |

  Scenario: Engines that start again at once are known to have ended by their new incarnations
    Given 3 instances and 12 engines that end whenever they begin on the part "bad"
    And each engine starts again after 0.02 seconds
    When "streaming" requests with that part come among sound ones with the same account and first part
    Then at most 3 of them reach engines later than 3 seconds after the fifth crash
    And sound requests are served at least half as often as before

  Scenario: Streams that break off at endpoints which go on do not count as crashes
    Given a "safe" route with 5 endpoints of behaviour "break off"
    When 8 requests with one part in common are sent
    Then none of them is refused as one that crashes endpoints

  Scenario: A part that any instance completes is cleared at all, in any order of crashes and reports
    Given crash counts of parts at 3 instances
    When they count crashes, complete parts and report in any order, and one of them completes a part last
    Then that part is refused at none of them once the reports have arrived

  Scenario: Many parts that ran at one crash each do not end a quarantine
    Given crash counts of parts at 1 instances
    When a part has crashed 3 endpoints, and 2000 other parts run at 1 crash each
    Then that part is still refused, and at most 500 counts are reported

  Scenario: A quarantine ends by a trial, and one crash begins the next one
    Given crash counts of parts at 3 instances
    When a part has crashed 3 endpoints, and the quarantine ends
    Then that part is sent once more, and refused at all instances after one more crash
