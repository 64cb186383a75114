Feature: Ways of placing are compared under load in simulated time

  Scenario: Every problem of an experiment's file is listed at once
    Given an experiment file with an unknown section, an unknown key, a bad number and bad parts
    When the experiment is run
    Then it ends with 2 and names all four

  Scenario: An engine reads prompts in chunks beside the tokens of others
    Given an engine that reads 1000 tokens a second in chunks of 100, with steps of 10 ms
    When an answer of 10 tokens runs alone, and beside a prompt of 500 tokens
    Then each of its tokens takes 10 ms alone and 110 ms beside the prompt

  Scenario: The same seed gives the same load to every policy
    Given an experiment with one load of 40 requests a second
    When the load of a seed is drawn twice and that of another once
    Then the two of one seed are the same and the other differs

  Scenario: A light load is on time and a heavy one is not
    Given an experiment with one load of 10 requests a second
    When it is played, and again with 30 times the requests
    Then the light load is on time for 95 in 100 and the heavy one for fewer than 50

  Scenario: Refusing what cannot be on time serves more callers in time than taking all
    Given an experiment with one load of 150 requests a second
    When it is played by default and with everything placed at once
    Then the default has at least 20 in 100 more on time

  Scenario: Engines short of slots serve as much in time at four times the load
    Given an experiment of 8 instances and 8 engines of 16 slots
    When it is played at one, two and four times what the slots can serve
    Then what is on time at each load is at least 0.8 of what is at the best of them
    And it is at least 1.25 times as much as without requests held beyond the slots

  Scenario: An account that used spare capacity keeps its share once others are busy too
    Given the experiment of accounts that send many times their usual one after the other
    When it is played on each of its seeds
    Then in any 6 seconds each account gets at least half of what the best served one got
