Feature: Commands, logs and metrics tell operators clearly what is wrong

  Scenario: All problems of a settings file are reported in one run
    Given a settings file with an unknown section, an unknown key, a missing key and an invalid port
    When the operator checks the settings file
    Then the exit code is 2
    And each problem is reported with file, section, key, the value found and the values allowed
    And no secret is printed

  Scenario: A valid settings file passes
    Given a valid settings file
    When the operator checks the settings file
    Then the exit code is 0

  Scenario: Contracts are listed as a table and as JSON, without key digests
    Given a small fleet
    When the operator lists the contracts as a table and as JSON
    Then both contain families and vets and no key digest

  Scenario: A contract with an invalid weight is refused
    Given a small fleet
    When the operator creates a contract with weight 0
    Then the exit code is 2

  Scenario: A command fails if the platform's table is unavailable
    Given a small fleet
    And the table is down
    When the operator lists the contracts
    Then the exit code is 1

  Scenario: A command with a wrong platform credential fails
    Given a small fleet
    When an operator with a wrong credential creates a contract
    Then the exit code is 1

  Scenario: Log lines are JSON without secrets, and metrics count requests and control traffic
    Given a small fleet
    When a caller streams a chat through router-0
    Then each log line of router-0 is JSON and none contains a secret
    And the metrics of router-0 and engine-0 count requests, heartbeats and control bytes

  Scenario Outline: Paths on the command line that look like numbers are taken literally
    Given a valid settings file in a folder named "<folder>"
    When the operator checks the settings file
    Then the exit code is 0
    And the only output is that the file is valid

    Examples:
      | folder    |
      | x-1in9vad |
      | 0x1.5.1e3 |

  Scenario: An account and a secret that look like numbers are taken literally
    Given a small fleet
    When the operator creates a contract for "1e3" with the secret "1_000"
    Then a chat with that account and secret is answered
