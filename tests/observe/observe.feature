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

  Scenario: logs never wait for who reads them, and say what was dropped
    Given a log whose reader has stopped reading
    When 20000 lines are logged
    Then that took less than 5 s
    And once the reader reads again a line tells how many were dropped

  Scenario: the volume of logs is bounded
    Given a log whose reader reads all
    When 5000 lines are logged within 1 s
    Then no more than 2400 of them are written, and the rest is counted

  Scenario: the metrics page gives counts and cumulative histograms
    Given a process that counted 3 entries and calls of 3, 4 and 800 ms
    Then its page tells of 3 entries
    And 2 calls up to 5 ms, 3 up to 1000 ms, 3 in all and a sum of 807 ms
