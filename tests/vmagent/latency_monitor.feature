Feature: The agent records how long a serving task exceeds its latency target

  Scenario Outline: a violation is logged each time its duration has doubled
    Given a serving task with a target of 150 ms and a best-effort task
    When its latency is <first> ms for <over_s> s, and then <last> ms
    Then latency_exceeded is logged <lines> times, with the number of working tasks
    And the histogram holds <violations> violations of at least <over_s> s

    Examples:
      | first | over_s | last | lines | violations |
      | 140   | 3.0    | 140  | 0     | 0          |
      | 160   | 0.6    | 140  | 0     | 1          |
      | 160   | 3.0    | 140  | 2     | 1          |
      | 160   | 12.0   | 140  | 4     | 1          |
