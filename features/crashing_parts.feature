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
