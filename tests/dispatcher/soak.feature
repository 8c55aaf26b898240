@rows
Feature: Workflows keep their guarantees under random, overlapping faults

  Scenario Outline: seed <seed> for <seconds> s
    Given a separate platform site with seed <seed>
    When random faults are injected into it for <seconds> s
    Then callers and workers saw no violation of a guarantee

    Examples: a seed that failed once, then others
      | seed | seconds |
      | 3    | 15      |
      | 11   | 12      |
      | 12   | 12      |
