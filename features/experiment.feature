Feature: Experiments compare placement policies under load in simulated time

  Scenario: All problems of an experiment file are reported in one run
    Given an experiment file with an unknown section, an unknown key, an invalid number and an invalid list
    When the experiment is run
    Then it exits with code 2 and names all four problems

  Scenario: Chunked prefill of a prompt slows down the tokens of other requests
    Given an engine that processes 1000 prompt tokens per second in chunks of 100, with steps of 10 ms
    When a response of 10 tokens is generated alone, and next to a prompt of 500 tokens
    Then each of its tokens takes 10 ms alone and 110 ms next to the prompt

  Scenario: The same seed gives the same load to every policy
    Given an experiment with one load of 40 requests per second
    When the load is generated twice from one seed and once from another
    Then the two loads of one seed are equal and the third differs

  Scenario: Requests are on time under a light load and late under a heavy one
    Given an experiment with one load of 10 requests per second
    When it is simulated, and again at 30 times the request rate
    Then at least 95 % of the light load and less than 50 % of the heavy load is on time

  Scenario: Refusing requests that cannot be on time serves more requests on time than accepting all
    Given an experiment with one load of 150 requests per second
    When it is simulated with the default policy and with a policy that places every request at once
    Then the default policy has at least 20 percentage points more on time

  Scenario: Engines short of slots serve as many requests on time at four times the load
    Given an experiment with 8 instances and 8 engines of 16 slots
    When it is simulated at one, two and four times the rate that the slots can serve
    Then the rate of requests on time at each load is at least 0.8 of the highest
    And it is at least 1.25 times the rate without requests held beyond the slots

  Scenario: An account that used spare capacity keeps its share once others are busy too
    Given the experiment in which one account after the other sends many times its usual load
    When it is simulated with each of its seeds
    Then in any 6 seconds each account gets at least half of what the best-served one got

  Scenario: Engines that copy cached parts from each other process shared parts less often
    Given an experiment with sessions that come back and engines that are short of capacity
    When it is simulated with engines that cannot copy cached parts and with engines that can
    Then the engines that can process fewer shared tokens again, and more requests of each load are on time
