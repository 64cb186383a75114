Feature: Entry instances exchange reports in datagrams that may be lost, delayed, duplicated or reordered

  Scenario: A report of any size arrives
    Given two instances, one of which has state for 400 accounts and 300 broken requests
    When that instance reports all its state
    Then the other one has this state within a second

  Scenario: Datagrams that arrive in any order replace no newer report
    When datagrams of reports of any length are lost, duplicated and reordered
    Then reports are assembled from all their parts, and none replaces a newer one

  Scenario: Reports from before a restart replace no later ones
    When an instance restarts while its last reports are still in transit
    Then the reports of its previous run no longer replace anything

  Scenario: Arbitrary bytes in place of a report
    When arbitrary bytes arrive at the port for reports
    Then they are parsed as a report or rejected, and raise no other error

  Scenario: Reports of load changes lead to the right loads, whichever are lost
    When an instance reports changes of its loads, some are lost, and a complete report follows
    Then the receiver has exactly the sender's loads, and none after the sender has stopped reporting

  Scenario: The number of store calls does not grow with the instances of a failure domain
    Given 8 instances of one failure domain
    When they run for 8 seconds, and then an API key is revoked and an endpoint drains
    Then two of them followed the store's tables, with at most 16 calls
    And all refuse the revoked key and use only the other endpoint within 1.5 seconds

  Scenario Outline: Changes reach all instances even if the store fails for its followers
    Given 6 instances of one failure domain
    When the store is "<outage>" for its followers, and then an API key is revoked and an endpoint drains
    Then all refuse the revoked key and use only the other endpoint within 1.5 seconds

    Examples:
      | outage |
      | busy   |
      | silent |
