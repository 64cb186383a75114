Feature: One odd row, entry or message neither ends a process nor hides the others

  Scenario Outline: An odd entry in the live list
    Given a small fleet of one router, one engine and one service
    When another writer adds an entry <oddity> to the live list and the engine's sidecar is restarted
    Then the router still runs and sends chats to the new sidecar

    Examples:
      | oddity                                |
      | without an address                    |
      | whose port is no number               |
      | whose host has too long a label       |
      | of a router whose port is no number   |
      | nested 200 levels deep                |
      | that is no object                     |

  Scenario Outline: Answers of the platform that cannot be read
    Given a small fleet of one router, one engine and one service
    When the platform's <service> answers <content> for 2 seconds
    Then a chat and a call with a key are answered and every process still runs

    Examples:
      | service | content            |
      | table   | something else     |
      | table   | rows of other keys |
      | live    | something else     |

  Scenario: An entry of the live list that is nested too deeply to be parsed
    Given a live list with an entry that is nested 5000 levels deep between two others
    When a router reads the list
    Then it has the two others

  Scenario: A conflict that names no row
    Given a table that answers every transaction with a conflict that names no row
    When a sidecar commits a row
    Then it learns that the write may have taken effect, after 1 transaction

  Scenario: A recorded response that is no JSON
    Given an object store that holds a text
    When a sidecar reads the object
    Then it has the text

  Scenario Outline: An odd change among those of the configuration
    Given a small fleet of one router, one engine and one service
    When another writer commits a change <oddity>
    And the operator adds a contract
    Then the new contract is served and every process still runs

    Examples:
      | oddity                          |
      | that is no object               |
      | whose contract has no weight    |
      | whose contract has weight zero  |
      | whose contract has weight -1e308 |
      | nested 200 levels deep          |

  Scenario: An odd claim of a call
    Given a small fleet of one router, one engine and one service
    When another writer replaces the claim of a call and the caller repeats the call
    Then the repeated call fails alone, and another one is answered

  Scenario Outline: An argument of an operator's command that is no number
    When an operator runs "<command>"
    Then the command ends with exit code 2 and one line that names <name>

    Examples:
      | command                                               | name        |
      | contract create families secret farewell --weight=abc | weight      |
      | contract create families secret farewell --queue=1e999 | queue      |
      | contract change families --weight=abc                 | weight      |
      | contract change families --concurrency=1.5            | concurrency |
      | contract retire families --if_version=--5             | if_version  |

  Scenario: Numbers of another process that are out of range
    Given a heartbeat with an odd verdict and an odd total beside good ones
    When a sidecar decodes and applies it
    Then its reply has the good ones only

  Scenario Outline: A count of tokens that no response can have
    Given an engine that states <count> completion tokens for a response of 40 bytes
    When a sidecar meters the response
    Then it is charged by its size

    Examples:
      | count  |
      | 1e300  |
      | -5     |
      | "many" |

  Scenario: A table that wrote the response to an earlier transaction once more
    Given a table that answers the first transaction twice and refuses the second one
    When a sidecar commits two claims one after the other
    Then the second one is not committed
