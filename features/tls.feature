Feature: Links are encrypted and authenticated where the settings say so

  Scenario: Callers and processes speak TLS with certificates of the operator's authority
    Given a small fleet with TLS on every listener
    When a family streams a chat over TLS through router-0
    Then the answer is whole and its own
    And the listeners refuse plain HTTP
    And a client that does not know the authority refuses router-0
