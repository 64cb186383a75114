Feature: Endpoints that are warming up get few requests from all instances together
  An endpoint that has just started, or that says so, bears few requests a second and may crash above
  that. Instances divide its bound without any exchange.

  Scenario: The bound of an endpoint holds whichever instances hear of each other
    When up to 40 instances with different beliefs send requests to an endpoint that is warming up
    Then it gets no more requests than its bound allows in any second

  Scenario: An endpoint that is warming up is used at the rate that it bears
    When 12 instances with steady demand send requests to an endpoint that bears 18 a second
    Then it gets at least 16 a second, and never more than 32

  Scenario: A failure domain whose endpoints come back cold under load
    Given two instances and a failure domain of two endpoints beside one that answers
    When the endpoints of the failure domain start again under load and have to warm up
    Then each of them gets some requests, never more than 8 in a second, and all calls are answered

  Scenario: An endpoint that says in a response that it is warming up is spared by all instances
    Given two instances and a failure domain of two endpoints beside one that answers
    When an endpoint of the failure domain says in a response that it is warming up, under load
    Then it gets some requests, never more than 8 in a second, and all calls are answered

  Scenario: Endpoints without a stated rate are not limited
    Given two instances and endpoints that state no rate for warming up
    When the endpoints of the failure domain start again under load and have to warm up
    Then they get more than 8 requests in a second
