Feature: Findings in base and overlays
  An operator sees every fault at once, each with its place.

  Scenario Outline: One fault is reported with its place
    Given the files of kulhus
    And <file> has <old> replaced by <new>
    When the files are checked
    Then the only finding is <code> at <place> of <file>

    Examples: syntax
      | file                      | old               | new                       | code          | place |
      | base.jsonc                | "mesh": "kulhus", | "mesh": "kulhus",,        | syntax        | 3:20  |
      | base.jsonc                | "mesh": "kulhus"  | "mesh" "kulhus"           | syntax        | 3:10  |
      | base.jsonc                | "kulhus"          | "kulhus                   | syntax        | 3:11  |
      | base.jsonc                | "kulhus"          | @                         | syntax        | 3:11  |
      | base.jsonc                | "kulhus"          | NaN                       | syntax        | 3:11  |
      | base.jsonc                | 600000            | 0600                      | syntax        | 26:32 |
      | overlays/koege-bugt.jsonc | "active"          | {                         | syntax        | 5:2   |

    Examples: keys and types
      | file                      | old               | new                       | code          | place |
      | base.jsonc                | "mesh": "kulhus"  | "mesh": "a", "mesh": "b"  | duplicate-key | 3:16  |
      | base.jsonc                | "mesh": "kulhus", | /* */                     | missing-key   | 2:1   |
      | base.jsonc                | "mesh": "kulhus"  | "mesh": 1                 | wrong-type    | 3:3   |
      | base.jsonc                | "slots": 20,      | "slot": 20, "slots": 20,  | unknown-key   | 11:7  |
      | base.jsonc                | {"slots": 20,     | {"slots": "20",           | wrong-type    | 19:26 |
      | base.jsonc                | "latency_fraction": 0.99 | "latency_fraction": true | wrong-type    | 16:9  |
      | overlays/koege-bugt.jsonc | "active"          | "resting"                 | wrong-type    | 4:3   |

    Examples: references
      | file                      | old               | new                                                 | code               | place |
      | base.jsonc                | "resource": "orders"  | "resource": "order"                             | dangling-reference | 37:7  |
      | base.jsonc                | "koege-bugt", | "koege-bugt", "esbjerg-dok",                            | duplicate-site     | 6:33  |
      | overlays/koege-bugt.jsonc | "koege-bugt"      | "aarhus-havn"                                       | wrong-site         | 3:3   |
      | overlays/koege-bugt.jsonc | "active"          | "active", "extends": "koege-bugt"                   | cycle              | 4:22  |
      | overlays/koege-bugt.jsonc | "active"          | "active", "extends": "odense"                       | unknown-overlay    | 4:22  |
      | overlays/koege-bugt.jsonc | "active"          | "active", "traffic": {"odense": 1}                  | unknown-site       | 4:34  |
      | overlays/koege-bugt.jsonc | "active"          | "active", "services": {"stock-catalogue": {"slots": 0}} | out-of-range   | 4:55  |
      | overlays/koege-bugt.jsonc | "active"          | "active", "resources": {"orders": {"absent": true}} | dangling-reference | 4:47  |

  Scenario: Faults of several files are reported together
    Given the files of kulhus
    And base.jsonc has {"slots": 20, replaced by {"slots": "20", "slot": 1,
    And overlays/koege-bugt.jsonc has "active" replaced by {
    And overlays/esbjerg-dok.jsonc has "active" replaced by 1
    When the files are checked
    Then the findings are
      | file                       | place | code        |
      | base.jsonc                 | 19:26 | wrong-type  |
      | base.jsonc                 | 19:41 | unknown-key |
      | overlays/esbjerg-dok.jsonc | 4:3   | wrong-type  |
      | overlays/koege-bugt.jsonc  | 5:2   | syntax      |

  Scenario Outline: A file that can't be read as a whole
    Given the files of kulhus
    And base.jsonc is <content>
    When the files are checked
    Then the only finding is <code> at <place> of base.jsonc

    Examples:
      | content           | code       | place |
      | missing           | unreadable | 1:1   |
      | empty             | syntax     | 1:1   |
      | not UTF-8         | unreadable | 2:3   |
      | over 8 MiB        | unreadable | 1:1   |
      | 70 levels deep    | syntax     | 1:66  |
      | over a log record | too-large  | 1:1   |

  Scenario: An overlay of a site that the base does not have
    Given the files of kulhus
    And overlays/odense.jsonc is an overlay of odense
    When the files are checked
    Then the only finding is unknown-site at 1:2 of overlays/odense.jsonc
