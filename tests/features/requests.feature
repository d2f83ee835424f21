Feature: A request that is refused as not run did not run

  Scenario Outline: Requests without a key: <fault> at <step>
    Given callers and upstreams with 4 slots each
    When <fault> is injected into requests at <step>
    Then a refusal as not run means that no byte reached an upstream
    And a non-idempotent request ran at most once
    And retries stay within the budget and at most two per request
    And all slots are free again

    Examples: admit
      | fault         | step     |
      | kill          | admit    |
      | freeze        | admit    |
      | cut_one_way   | admit    |
      | cut_both_ways | admit    |
      | silent        | admit    |
      | slow_link     | admit    |
      | disorder      | admit    |
      | answer_lost   | admit    |
      | herd          | admit    |

    Examples: dispatch
      | fault         | step     |
      | kill          | dispatch |
      | freeze        | dispatch |
      | cut_one_way   | dispatch |
      | cut_both_ways | dispatch |
      | silent        | dispatch |
      | slow_link     | dispatch |
      | disorder      | dispatch |
      | answer_lost   | dispatch |
      | herd          | dispatch |

    Examples: body
      | fault         | step     |
      | kill          | body     |
      | freeze        | body     |
      | cut_one_way   | body     |
      | cut_both_ways | body     |
      | silent        | body     |
      | slow_link     | body     |
      | disorder      | body     |
      | answer_lost   | body     |
      | herd          | body     |

    Examples: answer
      | fault         | step     |
      | kill          | answer   |
      | freeze        | answer   |
      | cut_one_way   | answer   |
      | cut_both_ways | answer   |
      | silent        | answer   |
      | slow_link     | answer   |
      | disorder      | answer   |
      | answer_lost   | answer   |
      | herd          | answer   |
