Feature: Configuration is validated, replaced atomically, and never reverts

  Scenario Outline: an invalid document is rejected
    Given the configuration of Abay Reef with <old> replaced by <new>
    When it is read
    Then a finding contains "<problem>"

    Examples:
      | old                                  | new                       | problem                                   |
      | zones = ["bole", "piassa", "sarbet"] | zones = ["bole", "adama"] | unknown zone adama                        |
      | zones = ["bole", "piassa", "sarbet"] | zones = []                | must name at least one zone               |
      | zones = ["bole", "piassa", "sarbet"] | zones = ["bole", "bole"]  | names a zone more than once               |
      | organisation = "abay-reef"           | organisation = "abay"     | unknown organisation abay                 |
      | deadline_ms = 1500                   | deadline_ms = 0           | must be from 1 to 3600000                 |
      | objective = 0.999                    | objective = 1.0           | must lie between 0 and 1                  |
      | service = "order-desk"               | service = ""              | is required for requests                  |
      | processors = 8.0                     | processors = 0.0          | needs processors and memory_mb            |
      | processors = 8.0                     | processors = 800.0        | one task exceeds the organisation's quota |
      | memory_mb = 16_000                   | memory_mb = -5            | must be from 0                            |
      | checkpoint_every_s = 60.0            | checkpoint_every_s = -1.0 | must not be negative                      |
      | shards = 1                           | shards = 0                | must be from 1                            |

  Scenario: of two concurrent replacements one is rejected and has no effect
    Given two watches of one store at revision 1
    When both replace revision 1 concurrently
    Then one is accepted and both have its revision 2

  Scenario: a lower revision never replaces a higher one
    Given two watches of one store at revision 1
    When the first replaces revision 1
    And the store's content is rolled back to before that
    And the first refreshes
    Then both have revision 2 of the first

  Scenario: a difference has a key, an old value and a new value
    Given the configuration of Abay Reef with deadline_ms = 1500 replaced by deadline_ms = 900
    When it is compared with the original one
    Then the only difference is templates.stock-check.deadline_ms from 1500 to 900
