@rows
Feature: Workflows hold their promises under random, overlapping faults

  Scenario Outline: seed <seed> for <seconds> s
    Given a platform site of its own under seed <seed>
    When random faults are played over it for <seconds> s
    Then callers and workers saw nothing that breaks a promise

    Examples: a seed that failed once, then others
      | seed | seconds |
      | 3    | 15      |
      | 11   | 12      |
      | 12   | 12      |
