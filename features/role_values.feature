Feature: Values from outside that routers, sidecars and operators' commands read
  They cost at most the row, message or request that has them.

  Scenario Outline: An odd row among those of the configuration
    Given a table with two changes of the configuration and a row <oddity> beside them
    When a router reads the configuration
    Then it has the contracts of both changes

    Examples:
      | oddity                                          |
      | whose key has 5000 digits                       |
      | whose version has more than 64 bits             |
      | whose contract has a concurrency of 4000 digits |
      | whose contract has a queue of -4000 digits      |

  Scenario: An operator's command with a number of thousands of digits
    When an operator creates a contract with a queue of 4000 digits
    Then the command ends with exit code 2 and one line that names queue

  Scenario Outline: A snapshot of the configuration that states another version than its name
    Given a table whose newest snapshot states the version <version>
    When a router reads the configuration, and again after a further change
    Then it has the contract of the further change

    Examples:
      | version             |
      | 9007199254740991    |
      | 1                   |

  Scenario Outline: A router passes on a contract that this build would not accept
    Given a router whose <part> of the configuration has contracts of the weights 0, -1e308, 1e-320 and 2
    When a sidecar reads the configuration from it
    Then only the contracts of positive weights are in force, within their bounds

    Examples:
      | part     |
      | snapshot |
      | changes  |

  Scenario Outline: A router states an age of its configuration that cannot be
    Given a router that states the age <age> of its configuration
    When a sidecar reads the configuration from it
    Then its own configuration does not count as matching the platform

    Examples:
      | age     |
      | -1e9    |
      | "-inf"  |
      | "nan"   |

  Scenario Outline: A heartbeat states a version of the configuration that does not exist
    Given a sidecar whose platform has the configuration version 3
    When a heartbeat states the version 9007199254740991 and the sidecar then reads <source>
    Then the sidecar <answer> requests

    Examples:
      | source       | answer  |
      | the platform | admits  |
      | nothing      | refuses |

  Scenario: A newer version is heard after one that does not exist
    Given a sidecar whose platform has the configuration version 3
    When a heartbeat states the version 9007199254740991 and the sidecar then reads the platform
    And a heartbeat states the version 4 and the sidecar then reads nothing
    Then the sidecar refuses requests

  Scenario Outline: A response to a transaction that does not say that it was committed
    Given a table that answers every transaction with status 200 and <content>
    When a sidecar commits a row
    Then it learns that the write may have taken effect, after 1 transaction

    Examples:
      | content                                         |
      | [{"key": "other", "version": 1, "value": {}}]   |
      | null                                            |
      | "busy"                                          |
      | nothing                                         |

  Scenario Outline: A row of the table whose version is <version>
    Given a table whose row of a released claim has the version <version>
    When a sidecar claims the call and records its outcome
    Then the claim is <result>, and the sidecar still commits other rows

    Examples:
      | version              | result      |
      | 5                    | held        |
      | 18446744073709551615 | unavailable |
      | true                 | unavailable |

  Scenario: A caller is not told that its call has not run where its claim exists and cannot be read
    Given a table whose row of a released claim has the version 18446744073709551615
    When a sidecar claims the call and records its outcome
    Then whether the call ran is unknown

  Scenario Outline: A URL in the settings to which no request can be sent
    Given a settings file of a sidecar whose <key> is <url>
    When it is checked
    Then the only violation names <key> and <url>

    Examples:
      | key          | url                     |
      | table_url    | http://127.0.0.1:99999  |
      | object_url   | http://                 |
      | live_url     | http://127.0.0.1:port   |
      | endpoint_url | https://[::1:80         |
      | peer_routers | http://127.0.0.1:0      |
