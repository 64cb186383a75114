Feature: The store comes back from a copy that is some seconds old
  What was written since is gone, and its versions are given out again.

  Scenario: An endpoint that left stays out of use while the copy shows it as before
    Given a "safe" route with two endpoints that answer
    When one of them drains and the store comes back from a copy of before
    Then the endpoint that drained gets nothing more, and the other one answers

  Scenario Outline: What is written after the store came back is followed
    Given a "safe" route with two endpoints that answer
    When the store comes back from a copy <changes> changes old, and an endpoint and a key are new
    Then the new endpoint and the new key are used within a second

    Examples:
      | changes |
      | 0       |
      | 1       |
      | 40      |

  Scenario: An instance that the store turns away hears from another that the store went back
    Given two instances, one of which the store answers with "busy"
    When the store comes back from a copy 40 changes old and one endpoint drains
    Then the endpoint that drained gets nothing more, and the other one answers

  Scenario: An instance whose row the copy lacks registers anew
    Given a "safe" route with two endpoints that answer
    When the store comes back from a copy of before the instance registered
    Then it is registered again within a second

  Scenario: An endpoint that vanished stays out while its entry in the copy lapses
    When an endpoint vanished, and the list of a new era shows it again
    Then it is out of use for 6 s, unless the store shows it anew

  Scenario: A late answer of the store from before it went back changes nothing
    When the store answers a call late with an older era
    Then the call counts as not answered, and the newer era stays

  Scenario: An endpoint whose entry vanished in an outage is dropped although it says that it leaves
    When the entry of an endpoint vanishes around an outage, and the endpoint then says that it leaves
    Then it is leaving at once, and gone when its entry has not come back
