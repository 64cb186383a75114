Feature: What is leaving gets no new work and completes the work it has

  Scenario: An endpoint is announced as leaving
    Given a small fleet
    And callers stream chats continuously
    When engine-0 is announced as leaving
    Then engine-0 starts no request later than 5 seconds after the announcement
    And every response was complete

  Scenario: The sidecar is frozen while its endpoint is announced as leaving
    Given a small fleet
    And callers stream chats continuously
    When engine-0 is frozen while it is announced as leaving, and resumes 6 seconds later
    Then engine-0 starts no request later than 5 seconds after the announcement

  Scenario: A run order waits in the socket of a frozen sidecar whose endpoint is leaving
    Given a small fleet
    When a run order is sent to frozen engine-0, which is announced as leaving and resumes 6 seconds later
    Then the order is refused as not run
    And the engine of engine-0 never received it

  Scenario: The live list lags and the endpoint is announced as leaving
    Given a small fleet whose live list lags by 8 seconds
    And callers stream chats continuously
    When engine-0 is announced as leaving
    Then engine-0 starts no request later than 5 seconds after the announcement

  Scenario: Two operators announce the same endpoint from the same version
    Given a small fleet
    When two operators announce engine-0 as leaving and as joined from the same version
    Then the first one is accepted and the other gets a conflict that names its version

  Scenario: A sidecar shuts down gracefully
    Given a small fleet
    And callers stream chats continuously
    When engine-0 gets SIGTERM
    Then the process exits with code 0
    And every response was complete

  Scenario: A router shuts down gracefully
    Given a small fleet
    And callers stream chats continuously through router-1
    When router-0 gets SIGTERM during a stream of 300 tokens
    Then the process exits with code 0
    And every response was complete

  Scenario: A process gets SIGTERM as soon as it listens
    Given a small fleet
    When 5 routers each get SIGTERM as soon as they listen
    Then each exits with code 0

  Scenario Outline: A call is held back if the sidecar may not start work when the call is about to be sent
    Given a stub endpoint and the sidecar's client for it
    When a call of kind "<kind>" is about to be sent and the confirmation has become too old
    Then the call is refused as not run and the endpoint received nothing

    Examples:
      | kind    |
      | engine  |
      | service |
