Feature: Settings are checked before a program starts

  Scenario Outline: a wrong setting is named
    Given the settings of an agent with <key> = <value>
    When they are loaded
    Then a finding names <key> and tells "<problem>"

    Examples:
      | key              | value          | problem              |
      | worker           | "localhost:1"  | is not ip:port       |
      | worker           | "127.0.0.1:0"  | has port 0           |
      | announce_listen  | "127.0.0.1:99999" | has no port       |
      | schedulers       | []             | names no address     |
      | schedulers       | ["10.0.0.1"]   | is not ip:port       |
      | vm_lease_s       | -1.0           | must be positive     |
      | vm               | ""             | must not be empty    |
      | log_level        | "loud"         | must be one of       |
      | entry_links      | 2.5            | must be int          |

  Scenario: good settings load
    Given the settings of an agent with entry_links = 2
    When they are loaded
    Then there are no findings

  Scenario Outline: the examples are without findings
    When the example settings of <program> are loaded
    Then there are no findings

    Examples:
      | program   |
      | agent     |
      | entry     |
      | operator  |
      | scheduler |
