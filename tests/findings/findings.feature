Feature: All findings about an input are reported together, with locations

  Scenario: every finding about a TOML document is reported
    Given the configuration
      """
      [zones.bole]
      in_servise = true
      [organisations.abay-reef]
      processors = "many"
      [templates.stock-check]
      organisation = "abay-reef"
      kind = "query"
      idempotent = true
      """
    When it is read
    Then the findings are
      | location                           | problem                             |
      | zones.bole                         | unknown key: in_servise             |
      | organisations.abay-reef.processors | must be float, not 'many'           |
      | organisations.abay-reef.memory_mb  | required key 'memory_mb' is missing |
      | templates.stock-check.kind         | 'query' is not a valid Kind         |
      | templates.stock-check.zones        | required key 'zones' is missing     |

  Scenario: wrong values are reported together with wrong types
    Given the configuration
      """
      shards = 0
      [zones.bole]
      [organisations.abay-reef]
      processors = "many"
      memory_mb = 100
      [templates.tank-watch]
      organisation = "abay-reef"
      kind = "batch"
      idempotent = true
      zones = ["bole", "adama"]
      processors = 0.5
      memory_mb = 10
      """
    When it is read
    Then the findings are
      | location                           | problem                   |
      | shards                             | must be from 1 to 4096    |
      | organisations.abay-reef.processors | must be float, not 'many' |
      | templates.tank-watch.zones[1]      | unknown zone adama        |

  Scenario: a finding about a syntax error has its line
    Given the configuration
      """
      [zones.bole]
      in_service = = true
      """
    When it is read
    Then a finding contains "line 2"
