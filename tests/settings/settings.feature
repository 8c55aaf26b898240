Feature: Settings are validated before a program starts

  Scenario Outline: a finding about an invalid setting names its key
    Given the settings of an agent with <key> = <value>
    When they are loaded
    Then a finding about <key> contains "<problem>"

    Examples:
      | key             | value             | problem                          |
      | worker          | "localhost:1"     | is not ip:port                   |
      | worker          | "127.0.0.1:0"     | has port 0                       |
      | announce_listen | "127.0.0.1:99999" | must have a port from 0 to 65535 |
      | schedulers      | []                | must name at least one address   |
      | schedulers      | ["10.0.0.1"]      | is not ip:port                   |
      | vm_lease_s      | -1.0              | must be positive                 |
      | vm              | ""                | must not be empty                |
      | log_level       | "loud"            | must be one of                   |
      | entry_links     | 2.5               | must be int                      |

  Scenario: valid settings are loaded without findings
    Given the settings of an agent with entry_links = 2
    When they are loaded
    Then there are no findings

  # A process that needs longer than the platform allows is killed amid requests.
  Scenario Outline: a dispatcher ends within <grace_s> s of a signal
    Given the settings of a dispatcher with grace_s = <grace_s>
    When they are loaded
    Then it accepts requests for <linger_s> s and waits <drain_s> s for them

    Examples:
      | grace_s | linger_s | drain_s |
      | 6.0     | 2.2      | 3.0     |
      | 60.0    | 2.2      | 3.0     |
      | 2.8     | 0.9      | 1.1     |
      | 0.6     | 0.0      | 0.0     |

  Scenario Outline: the log of a dispatcher may be written uncompressed
    Given the settings of a dispatcher with compress_log = <value>
    When they are loaded
    Then the loaded compress_log is <loaded>

    Examples:
      | value | loaded |
      | false | False  |
      | true  | True   |

  Scenario: compress_log is yes or no
    Given the settings of a dispatcher with compress_log = 1
    When they are loaded
    Then a finding about compress_log contains "must be bool"

  Scenario Outline: the example settings are loaded without findings
    When the example settings of <program> are loaded
    Then there are no findings

    Examples:
      | program    |
      | agent      |
      | dispatcher |
      | entry      |
      | operator   |
      | scheduler  |
      | vmagent    |
