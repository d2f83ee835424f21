Feature: Upstreams get requests after they announce and none after they leave

  Scenario Outline: Announcing: <fault> at <step>
    Given a mesh with a version in force
    When <fault> affects a daemon whose upstream announces itself
    And the fault of the announcing daemon ends
    Then all daemons of the region send it requests within 15 s

    Examples:
      | fault         | step     |
      | kill          | announce |
      | freeze        | announce |
      | cut_one_way   | announce |
      | cut_both_ways | announce |
      | silent        | announce |
      | slow_link     | announce |
      | disorder      | announce |
      | log_down      | announce |
      | answer_lost   | announce |
      | herd          | announce |

  Scenario Outline: Leaving: <fault> at <step>
    Given a mesh with a version in force
    And an upstream that all daemons of the region know
    When its daemon begins to <step> during <fault>
    Then it gets no new requests after 3 s
    And it still gets no requests after the fault ends

    Examples: drain
      | fault         | step     |
      | kill          | drain    |
      | freeze        | drain    |
      | cut_one_way   | drain    |
      | cut_both_ways | drain    |
      | silent        | drain    |
      | slow_link     | drain    |
      | disorder      | drain    |
      | log_down      | drain    |
      | answer_lost   | drain    |
      | herd          | drain    |

    Examples: stop
      | fault         | step     |
      | kill          | stop     |
      | freeze        | stop     |
      | cut_one_way   | stop     |
      | cut_both_ways | stop     |
      | silent        | stop     |
      | slow_link     | stop     |
      | disorder      | stop     |
      | log_down      | stop     |
      | answer_lost   | stop     |
      | herd          | stop     |
