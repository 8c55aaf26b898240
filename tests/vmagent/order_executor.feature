Feature: Orders are checked again when they are sent to the worker

  # Tasks started up to 4.5 s after the cancel of their workflow: their starts
  # waited behind calls without an answer, and were not checked after the wait.
  Scenario Outline: a start that waits is withdrawn when <change>
    Given an agent whose worker answers none of its first 20 starts
    When 40 attempts are ordered, and 0.3 s later <change>
    Then no start is sent later than 0.1 s after that
    And within 0.3 s of that each attempt that was not sent is <kind>

    Examples:
      | change                      | kind        |
      | they are stopped            | interrupted |
      | the worker starts to drain  | not_run     |
      | the worker deregisters      | not_run     |
      | a new boot reports          | interrupted |

  # The hold is extended by polls only, and a start must not renew a lapsed one.
  Scenario: a start that waits is not sent without a lease
    Given an agent whose worker answers none of its first 20 starts
    When 40 attempts are ordered, and 0.3 s later the lease lapses
    Then no start is sent later than 0.1 s after that
    And within 3 s of that each attempt that was not sent is not_run

  # The process may be suspended while a connection is opened.
  Scenario: a start is checked once the connection is open
    Given an agent whose worker accepts connections 0.5 s late
    When 3 attempts are ordered, and 0.3 s later they are stopped
    Then no start is sent later than 0.1 s after that
    And within 0.3 s of that each attempt that was not sent is interrupted
