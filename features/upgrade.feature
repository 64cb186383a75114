Feature: Old and new builds beside one another
  While instances are replaced one after the other, those of the build in production and those of
  the new one serve together, each in a process of its own.

  Scenario Outline: A request that crashes endpoints under one build is refused by the other
    Given an "<first>" and a "<second>" instance of one store
    When a request breaks off twice at the first, is answered at the second, and breaks off 3 times at the first
    Then it was run each time, and both refuse it from then on

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario Outline: Load and usage of an instance are known to one of the other build
    Given an "<first>" and a "<second>" instance of one store
    When the first has used tokens and occupies the only slot, and a request reaches the second
    Then that request is refused as not run, knowing the usage of its account at the first

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario Outline: An instance without access to the store learns everything from one of the other build
    Given an "<first>" instance, and a "<second>" instance whose store is silent from its start
    When the configuration replaces the key, all endpoints drain and another one appears
    Then the second refuses the old key, and uses the only endpoint that is ready

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario Outline: An evacuation reaches an instance of the other build that cannot read the store
    Given an "<first>" instance, and a "<second>" instance whose store is silent from its start
    When failure domain "b" is evacuated, a further "<second>" instance starts, and "a" is evacuated instead
    Then all three send everything to "a" at first, and to "b" after that

    Examples:
      | first | second |
      | old   | new    |
      | new   | old    |

  Scenario: Instances of both builds understand all that they send each other
    Given an "old" and a "new" instance of one store
    When both place prompts, refuse requests, hear of an endpoint that warms up and of an evacuation
    Then each has heard the other, and neither got a datagram that it could not read

  Scenario: A roll to the new build and back loses no request
    Given callers of three instances of the build in production
    When all three are replaced by the new build one by one, and rolled back, while the configuration changes and endpoints drain
    Then every request was served or promised not to have run, and no check of the soak finds a violation

  Scenario: Without the commit in the history the build in production is missing loudly
    When the build of a commit that the history lacks is unpacked
    Then that fails and says which commit is missing, and how to get it

  Scenario: An instance reads what it knows of the messages of a later build
    Given two instances, one of which sees the store outage "silent"
    When all that instances send each other has a further field, failure domain "b" is evacuated, and a third one starts
    Then all three are ready, hear each other and know of the evacuation

  Scenario: Routers, sidecars and operators of both builds work together
    Given a router, a sidecar beside an engine and one beside a service of each build
    When operators of both builds write and change the contract of an account
    And each router gets chats and keyed charges for the sidecars of each build
    Then each chat is whole
    And each charge ran once, and its repetition through the other router got the same answer

  Scenario: A contract of the old build holds in the new one, however great its numbers
    Given a router, a sidecar beside an engine and one beside a service of each build
    When an operator of the old build writes a contract with numbers as great as none is in the new one
    And each router gets chats and keyed charges for the sidecars of each build
    Then each chat is whole
