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

  # The deadline of a start was computed before it waited, by the lease of then.
  Scenario: a start that waits is not sent without a lease
    Given an agent whose worker answers none of its first 20 starts
    When 40 attempts are ordered, and 0.3 s later the lease lapses
    Then no start is sent later than 0.1 s after that
    And within 3 s of that each attempt that was not sent is not_run

  # Stops waited for as long as the starts before them, up to 4.8 s.
  Scenario: a stop does not wait behind starts
    Given an agent whose worker answers none of its first 60 starts
    When an attempt runs, 40 others are ordered, and it is stopped
    Then its stop is sent within 0.1 s

  Scenario: a pace does not wait behind starts
    Given an agent whose worker answers none of its first 60 starts
    When 40 attempts are ordered, and a pace is set
    Then the pace is sent within 0.1 s

  # A worker that left half of its starts unanswered got 17 of 40 in 2.5 s.
  Scenario: starts without an answer delay the others little
    Given an agent whose worker answers every second start
    When 40 attempts are ordered
    Then each of them has been sent within 2.5 s

  Scenario: a start does not wait behind starts that are too old
    Given an agent whose worker answers none of its first 200 starts
    When 100 attempts are ordered, and one more 3 s later
    Then each of the 100 that was not sent has been reported as not_run
    And the one more is sent within 0.5 s

  # The process may be suspended while a connection is opened.
  Scenario: a start is checked once the connection is open
    Given an agent whose worker accepts connections 0.5 s late
    When 3 attempts are ordered, and 0.3 s later they are stopped
    Then no start is sent later than 0.1 s after that
    And within 0.3 s of that each attempt that was not sent is interrupted

  # A worker that left all calls unanswered for 30 s was given 68 of 400 tasks,
  # beside one that was idle.
  Scenario: a worker that answers nothing is given few attempts
    Given an agent whose worker answers no start and no stop
    When 100 attempts are ordered
    Then within 1.5 s at most 15 of them have been sent
    And each other one has been reported as not_run
    When 10 more are ordered
    Then within 0.3 s each of these has been reported as not_run
    When the worker answers again, and 3 s later 10 more are ordered
    Then within 0.5 s each of these has started
