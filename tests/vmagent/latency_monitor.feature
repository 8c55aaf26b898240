Feature: The agent says for how long a serving task exceeds its latency target

  Scenario Outline: stretches over the target are logged as they grow
    Given a serving task with a target of 150 ms and a filling task beside it
    When its figure is <first> ms for <over_s> s, and then <last> ms
    Then latency_exceeded is logged <notes> times, with what works beside it
    And the histogram holds <stretches> stretch of at least <over_s> s

    Examples:
      | first | over_s | last | notes | stretches |
      | 140   | 3.0    | 140  | 0     | 0         |
      | 160   | 0.6    | 140  | 0     | 1         |
      | 160   | 3.0    | 140  | 2     | 1         |
      | 160   | 12.0   | 140  | 4     | 1         |
