Feature: Endpoints say in their answers that they leave, or that they want a rest
  Each instance holds to what it was told itself, and tells the others of those that leave.

  Scenario: An endpoint that says in an answer that it leaves gets nothing more
    Given a "safe" route with two endpoints that answer
    When the one that is used says in an answer that it leaves, and the store says nothing of it
    Then it gets nothing more, the other one answers, and callers do not see the field

  Scenario: The other instances hear that an endpoint leaves
    Given two instances, one of which the store answers with "busy"
    When the one that is used says in an answer that it leaves, and the store says nothing of it
    Then the other instance does not use it either

  Scenario: An address that is used again says nothing of the endpoint that had it
    Given a "safe" route with two endpoints that answer
    When another endpoint at the address of one says that it leaves
    Then that one is not taken for leaving

  Scenario: An endpoint that asked for a rest gets nothing until it is over
    Given a "safe" route with two endpoints that answer
    When the one that is used turns a request away for 0.8 s, and callers go on
    Then it gets nothing for 0.8 s and requests after that, and all are answered

  Scenario: A service whose every endpoint rests is refused at once
    Given a "safe" route with two endpoints that answer
    When both turn requests away for 1.5 s, and callers go on
    Then they are refused as not run within 50 ms, with the time at which the first one is back

  Scenario Outline: A rest that makes no sense is passed over, a very long one is bounded
    Given a "safe" route with two endpoints that answer
    When the one that is used turns a request away for "<stated>"
    Then it rests for <seconds> s

    Examples:
      | stated                        | seconds |
      | 0.5                           | 0.5     |
      | -3                            | 0       |
      | soon                          | 0       |
      | nan                           | 0       |
      | inf                           | 0       |
      | Fri, 04 Dec 2026 12:00:00 GMT | 0       |
      | 1e9                           | 600     |

  Scenario: A request that was placed before its endpoint asked for a rest goes elsewhere
    Given a "safe" route with two endpoints that answer
    When an endpoint asks for a rest while a connection to it is being opened
    Then the request is answered by the other one
