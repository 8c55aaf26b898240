Feature: A process claims a vacant leadership at once

  Scenario Outline: whichever it knows last
    Given 5 processes that get a lease after <lease_s> s and read the keys after <read_s> s
    Then one asks for the head at most 0.08 s after they know both

    Examples:
      | lease_s | read_s |
      | 0.02    | 0.03   |
      | 0.03    | 0.02   |
      | 0.02    | 0.17   |
      | 0.17    | 0.02   |
