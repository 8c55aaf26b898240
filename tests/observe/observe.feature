Feature: Each event is one line of key=value pairs

  Scenario Outline: values that would break a line are quoted
    When an event is logged with reason <reason>
    Then the line is event=something reason=<shown>

    Examples:
      | reason      | shown          |
      | plain       | plain          |
      | two words   | "two words"    |
      | a=b         | "a=b"          |
      | a\nb        | "a\nb"         |

  Scenario: an exception with its trace is one line
    When an exception is logged
    Then one line was logged, with its trace

  Scenario: the metrics SDK is loaded only where an endpoint is set
    Then a process without an endpoint has not imported the SDK
