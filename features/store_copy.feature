Feature: The store is restored from a copy that is some seconds old
  Later writes are lost, and their version numbers are assigned again to other writes.

  Scenario: An endpoint that left stays out of use although the restored copy still lists it
    Given a "safe" route with two endpoints that answer
    When one of them drains and the store is restored from an earlier copy
    Then the endpoint that drained gets no more requests, and the other one answers

  Scenario Outline: Writes after the store was restored are followed
    Given a "safe" route with two endpoints that answer
    When the store is restored from a copy <changes> changes old, and an endpoint and an API key are added
    Then the new endpoint and the new API key are used within a second

    Examples:
      | changes |
      | 0       |
      | 1       |
      | 40      |

  Scenario: An instance that the store turns away learns from another that the store was restored
    Given two instances, one of which sees the store outage "busy"
    When the store is restored from a copy 40 changes old and one endpoint drains
    Then the endpoint that drained gets no more requests, and the other one answers

  Scenario: An instance whose row is missing from the copy registers again
    Given a "safe" route with two endpoints that answer
    When the store is restored from a copy made before the instance registered
    Then it is registered again within a second

  Scenario: An endpoint that disappeared stays out of use until its entry in the copy would have expired
    When an endpoint has disappeared, and the list of a new era contains it again
    Then it is out of use for 6 s, unless the store lists it anew

  Scenario: A late response from before the store was restored changes nothing
    When the store answers a call late with an older era
    Then the call fails as unanswered, and the newer era stays in force

  Scenario: An endpoint whose entry disappeared in an outage is dropped even if it says that it is leaving
    When the entry of an endpoint disappears around an outage, and the endpoint then says that it is leaving
    Then it counts as leaving immediately, and is dropped if its entry does not return
