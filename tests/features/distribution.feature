Feature: An accepted version is in force everywhere and is never reverted

  Scenario Outline: <fault> at <step>
    Given a mesh with a version in force
    When <fault> affects the daemon that performs <step>
    And versions are published
    And the unaffected daemons have the accepted version within 10 s
    And the fault ends
    Then all daemons have the accepted version in force within 30 s
    And the version is complete and without dangling references on each

    Examples: faults of one daemon
      | fault         | step       |
      | kill          | publish    |
      | kill          | accept     |
      | kill          | checkpoint |
      | kill          | relay      |
      | kill          | apply      |
      | freeze        | publish    |
      | freeze        | accept     |
      | freeze        | checkpoint |
      | freeze        | relay      |
      | freeze        | apply      |
      | cut_one_way   | publish    |
      | cut_one_way   | accept     |
      | cut_one_way   | checkpoint |
      | cut_one_way   | relay      |
      | cut_one_way   | apply      |
      | cut_both_ways | publish    |
      | cut_both_ways | accept     |
      | cut_both_ways | checkpoint |
      | cut_both_ways | relay      |
      | cut_both_ways | apply      |
      | silent        | publish    |
      | silent        | accept     |
      | silent        | checkpoint |
      | silent        | relay      |
      | silent        | apply      |
      | slow_link     | publish    |
      | slow_link     | accept     |
      | slow_link     | checkpoint |
      | slow_link     | relay      |
      | slow_link     | apply      |

    Examples: faults of the log, of many daemons, and of publishers
      | fault       | step       |
      | disorder    | publish    |
      | disorder    | accept     |
      | disorder    | checkpoint |
      | disorder    | relay      |
      | disorder    | apply      |
      | log_down    | publish    |
      | log_down    | accept     |
      | log_down    | checkpoint |
      | log_down    | relay      |
      | log_down    | apply      |
      | log_slow    | publish    |
      | log_slow    | accept     |
      | log_slow    | checkpoint |
      | answer_lost | publish    |
      | answer_lost | accept     |
      | answer_lost | checkpoint |
      | answer_lost | relay      |
      | answer_lost | apply      |
      | retention   | publish    |
      | retention   | accept     |
      | retention   | checkpoint |
      | retention   | relay      |
      | retention   | apply      |
      | race        | publish    |
      | race        | accept     |
      | race        | relay      |
      | race        | apply      |
      | herd        | publish    |
      | herd        | accept     |
      | herd        | checkpoint |
      | herd        | relay      |
      | herd        | apply      |
