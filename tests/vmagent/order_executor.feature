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

  # Tasks stood still for 4.9 s in the median, and up to 15 s, on workers that
  # left their starts unanswered: whether they ran was open for that long.
  Scenario: an attempt whose calls get no answer is soon known not to run
    Given an agent whose worker carries out all calls 2 to 12 s late, unanswered
    When one attempt is ordered
    Then after 0.4 s its outcome is uncertain
    And within 1.7 s it is reported as not_run
    And no outcome is uncertain
    And the log says that its start was resolved to not_run by list
    And a stop was sent
    And at most 3 calls are sent from 2 to 5 s after its order
    And after 14 s it has not run

  Scenario: an attempt whose first tries are lost soon runs
    Given an agent whose worker carries out its first 2 starts 2 s late, unanswered
    When one attempt is ordered
    Then within 0.6 s it runs
    And the log says that its start was resolved to running by answer
    And no outcome is uncertain
    And after 4 s it runs and was not stopped

  # A list that was requested before the deadline lacks it.
  Scenario: an attempt that began just before its deadline is not given up
    Given an agent whose worker carries out its first 9 starts 0.7 s late, unanswered
    When one attempt is ordered
    Then within 1 s it runs
    And after 4 s it runs and was not stopped
    And the log says that its start was resolved to running by list

  # A list that lacks an attempt is no proof while its start may be carried out.
  Scenario: an attempt that is stopped may begin until its deadline
    Given an agent whose worker carries out starts 0.6 s and stops 3 s late, unanswered
    When one attempt is ordered
    Then after 0.3 s its outcome is uncertain
    When the leader stops it
    Then within 0.8 s it runs
    And after 2.5 s no end of it is reported
    And within 4 s it is reported as interrupted

  # It waited for a stop to be accepted, although no start could take effect.
  Scenario: an attempt whose starts were all refused ends when it is stopped
    Given an agent whose worker refuses starts for their token, and answers no stop
    When one attempt is ordered
    Then after 0.3 s it has not run
    When the leader stops it
    Then within 0.5 s it is reported as interrupted

  # The answers of two tries may differ. A task that runs must not be given up.
  Scenario: a refused repeat does not decide while the first try is unanswered
    Given an agent whose worker answers its first start after 0.6 s, and has no room for the others
    When one attempt is ordered
    Then within 0.8 s it runs
    And after 4 s it runs and was not stopped

  # The clock of a new boot starts anew, so that a copy of a start may run there
  # after its deadline, or have run on the boot before.
  Scenario Outline: a list of a new boot is no proof before a stop is answered
    Given an agent whose worker, up for <age> s, answers no start or stop
    When one attempt is ordered, and 0.5 s later the worker restarts
    Then after 3 s no end of it is reported
    When the worker answers stops again
    Then within 2 s it is reported as interrupted

    Examples:
      | age |
      | 0   |
      | 60  |

  # A task ran twice: its end was on record, and it was placed elsewhere.
  Scenario: a new boot does not run an attempt that has ended on the last one
    Given an agent whose worker, up for 60 s, carries out starts 3 s late, unanswered
    When one attempt is ordered
    Then within 1.7 s it is reported as not_run
    When its end is put on record, and the worker restarts
    Then after 6 s it has not run

  Scenario: a stop whose first call is lost takes effect soon
    Given an agent whose worker carries out its first stop 2 s late, unanswered
    When one attempt is ordered
    Then within 0.6 s it runs
    When the leader stops it
    Then within 0.5 s the worker has stopped it
    And within 0.8 s it is reported as interrupted
