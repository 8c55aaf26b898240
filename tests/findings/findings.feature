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

  Scenario: a syntax error names its line
    Given the configuration
      """
      [zones.bole]
      in_service = = true
      """
    When it is read
    Then a finding tells "line 2"
