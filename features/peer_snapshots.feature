Feature: An instance that the store turns away learns of changes although some of its peers hang

  Scenario Outline: A change is fetched from a peer that answers, however many others take the call and hang
    Given an instance that the store turns away and <hanging> peers of its failure domain that hang
    When the configuration changes, and one peer of another failure domain answers
    Then the instance has the change in force within 2 seconds

    Examples:
      | hanging |
      | 1       |
      | 2       |
