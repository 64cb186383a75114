Feature: Connections are encrypted and authenticated if the settings say so

  Scenario: Callers and processes use TLS with certificates of the operator's certificate authority
    Given a small fleet with TLS on every listener
    When a caller streams a chat over TLS through router-0
    Then the response is complete and belongs to the request
    And the listeners refuse plain HTTP
    And a client that does not trust the certificate authority rejects router-0
