Feature: What is kept for a time is kept through steps of the wall clock

  # A step forward made all ended workflows and tombstones expire at once:
  # their callers were told that there are no such workflows, and a submission
  # that was still on its way could be accepted again.
  Scenario Outline: a leader remembers <what> when its clock steps by 300 s
    Given a leader on a platform store and a VM that follows it
    And <what>
    When the wall clock steps by 300 s, and snapshots are made
    Then the caller of <what> gets <outcome>

    Examples:
      | what                  | outcome   |
      | a cancelled workflow  | cancelled |
      | an early cancellation | refused   |

  Scenario Outline: what expires after a step of <step_s> s
    Given a retention clock
    When the wall clock steps by <step_s> s, and 100 s pass
    Then what was made before the step is <before_s> s old
    And what was made after the step is <after_s> s old

    Examples: A step of an hour makes records expire, or they would be kept on
      | step_s | before_s | after_s |
      | 0      | 100      | 100     |
      | 300    | 100      | -200    |
      | -300   | -200     | 100     |
      | 3600   | 3100     | -500    |

  Scenario Outline: a leader whose wall clock is <ahead_s> s ahead
    Given a retention clock of a log whose last entry was made <ahead_s> s ago
    When the wall clock steps by 0 s, and 100 s pass
    Then what was made in that entry is <age_s> s old

    Examples:
      | ahead_s | age_s |
      | 300     | 100   |
      | 36000   | 35500 |
