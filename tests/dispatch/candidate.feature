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

  Scenario: a process that cannot read the log lets another one lead
    Given a process whose link is too slow to read the log
    Then within 1 s it has claimed the log and taken its name from the leader's key
    And it claims nothing more for 0.8 s
