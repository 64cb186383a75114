Feature: What an instance knows is never older than a stated bound, whichever call is lost

  Scenario Outline: A change confirmed as the store answers again is in force in time
    Given <instances> instances, each alone in its failure domain
    When the store is silent for <seconds> seconds, and everything changes as it answers again
    Then every change is in force at all instances within 2 seconds

    Examples:
      | instances | seconds |
      | 1         | 0.0     |
      | 3         | 0.0     |
      | 3         | 3.0     |
      | 3         | 5.2     |

  Scenario: A change reaches the instances whose calls for it are lost from the one that follows
    Given 4 instances of one failure domain, two of which follow the store
    When the answers to the followers are lost for good and everything changes
    Then every change is in force at all instances within 2 seconds

  Scenario: A store that answers slowly is not taken for a silent one
    Given a store that takes 0.35 seconds for each answer
    When an instance follows it for 6 seconds
    Then at most 25 calls were made and everything that changed is in force

  Scenario: No instance states a smaller age than that of a change which it does not know
    Given a store whose answers are 0.25 seconds on their way
    When it changes every 0.2 seconds, for 8 seconds
    Then the age that an instance states is never smaller than that of the oldest change it lacks

  Scenario: A call that has to be repeated is repeated once its instance relies on the store again
    Given a call for changes that others show to have missed one
    When its instance relies on other instances for 0.4 seconds, and then on the store again
    Then the call is repeated within 0.1 seconds of that

  Scenario: What a response says is never taken to be newer than the response
    When responses take any time, and the clocks of the store and of its clients differ and drift apart
    Then the time that a response is taken to be of is never after the one at which it was made
