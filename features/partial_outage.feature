Feature: What an instance knows of one table does not depend on whether the store answers about another

  Scenario Outline: A change of the table that the store answers for again is in force in time
    Given the store was "<outage>" about both tables for 0.5 to 8 seconds, in steps of 0.5
    When it answers about "<table>" alone, and everything changes just then
    Then what "<table>" holds is in force within 2 seconds, whatever the length was

    Examples:
      | outage | table   |
      | silent | op      |
      | silent | servers |
      | busy   | op      |
      | busy   | servers |
      | reset  | op      |
      | reset  | servers |

  Scenario Outline: A change is in force in time although the other table was away first and stays away
    Given the store was "<outage>" about "<other>" for 2 seconds, and then about "<table>" for 0.5 to 8 seconds
    When it answers about "<table>" alone, and everything changes just then
    Then what "<table>" holds is in force within 2 seconds, whatever the length was

    Examples:
      | outage | other   | table   |
      | silent | servers | op      |
      | silent | op      | servers |
      | busy   | servers | op      |
      | reset  | servers | op      |
