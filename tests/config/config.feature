Feature: Configuration is checked, replaced by comparison, and never reverts

  Scenario Outline: a document that does not fit together is refused
    Given the configuration of Abay Reef with <old> replaced by <new>
    When it is read
    Then a finding tells "<problem>"

    Examples:
      | old                          | new                       | problem                        |
      | zones = ["bole", "piassa", "sarbet"] | zones = ["bole", "adama"] | no zone adama          |
      | zones = ["bole", "piassa", "sarbet"] | zones = []        | names no zone                  |
      | zones = ["bole", "piassa", "sarbet"] | zones = ["bole", "bole"] | names a zone twice      |
      | organisation = "abay-reef"   | organisation = "abay"     | no organisation abay           |
      | deadline_ms = 1500           | deadline_ms = 0           | must be from 1 to 3600000      |
      | objective = 0.999            | objective = 1.0           | must lie between 0 and 1       |
      | service = "order-desk"       | service = ""              | a request needs one            |
      | processors = 8.0             | processors = 0.0          | needs processors and memory_mb |
      | processors = 8.0             | processors = 800.0        | more than the organisation's quota |
      | memory_mb = 16_000           | memory_mb = -5            | must be from 0                 |
      | checkpoint_every_s = 60.0    | checkpoint_every_s = -1.0 | must not be negative           |
      | shards = 1                   | shards = 0                | must be from 1                 |

  Scenario: two operators race, one loses and changes nothing
    Given two watches of one store at revision 1
    When both replace revision 1 at once
    Then one is accepted and both have revision 2 of the same author

  Scenario: a lower revision never replaces a higher one
    Given two watches of one store at revision 1
    When the first replaces revision 1
    And the store goes back to the content before
    And the first refreshes
    Then both have revision 2 of the same author

  Scenario: differences name key, old and new value
    Given the configuration of Abay Reef with deadline_ms = 1500 replaced by deadline_ms = 900
    When it is compared with the one of Abay Reef
    Then the only difference is templates.stock-check.deadline_ms from 1500 to 900
