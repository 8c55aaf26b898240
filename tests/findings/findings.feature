Feature: Findings of a bad input are reported together, each with its place

  Scenario: every finding of a TOML document is named
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
      | place                                | problem                          |
      | zones.bole                           | unknown key: in_servise          |
      | organisations.abay-reef.processors   | must be float, not 'many'        |
      | organisations.abay-reef.memory_mb    | required key 'memory_mb' is missing |
      | templates.stock-check.kind           | 'query' is not a valid Kind      |
      | templates.stock-check.zones          | required key 'zones' is missing  |

  Scenario: wrong values are named together with wrong types
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
      | place                              | problem                   |
      | shards                             | must be from 1 to 4096    |
      | organisations.abay-reef.processors | must be float, not 'many' |
      | templates.tank-watch.zones[1]      | no zone adama             |

  Scenario: a syntax error names its line
    Given the configuration
      """
      [zones.bole]
      in_service = = true
      """
    When it is read
    Then a finding tells "line 2"
