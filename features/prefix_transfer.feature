Feature: Engines copy cached parts of a prompt from each other
  A session whose engine is busy goes on at another one, which is told where its shared parts are cached.

  Scenario: An engine copies only what another one has cached, and only where that is faster
    When prompts meet engines that have cached any number of their tokens
    Then each engine copies what the best other one has beyond it, if that is faster than processing it

  Scenario: The second engine of a session is told to copy its parts from the first
    Given engines that copy cached parts from each other, and a session at one of them
    When that engine holds all the requests that it may, and the session goes on
    Then the session goes on at the other engine, which is told the address of the first

  Scenario: An instance that reads the endpoints before the configuration knows what they cache
    Given engines that copy cached parts from each other, whose configuration is written after them
    When that engine holds all the requests that it may, and the session goes on
    Then the session goes on at the other engine, which is told the address of the first

  Scenario: No engine is told to copy from one that has left
    Given engines that copy cached parts from each other, and a session at one of them
    When that engine leaves, and the session goes on
    Then the session goes on at the other engine, which is told no address

  Scenario: Engines that state no link are told no address
    Given engines that cannot copy cached parts from each other, and a session at one of them
    When that engine holds all the requests that it may, and the session goes on
    Then the session goes on at the other engine, which is told no address
