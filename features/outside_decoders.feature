Feature: Decoders of values from outside return values that can be encoded and summed, or refuse

  Scenario: Header fields of any text
    When header fields of requests and responses hold any text
    Then they are decoded to values that a report and a float can hold

  Scenario: Entries of endpoints of any JSON
    When any members of an entry of an endpoint are replaced by any JSON
    Then it names no endpoint, or one whose values can be used

  Scenario: Configurations of any JSON
    When any members of a configuration are replaced by any JSON
    Then it is refused, or its values can be used

  Scenario: Replies of the store of any JSON
    When any members of a reply of the store are replaced by any JSON
    Then it counts as an outage, or its rows can be used

  Scenario: Messages of other instances of any MessagePack
    When any members of reports and notices are replaced by any MessagePack
    Then they are refused, or their values can be encoded and merged
