Feature: Run times are learned from what tasks take

  Load: callers' estimates are off by up to nine tenths, run times differ
  within each image, and by 15 % among siblings. The earlier decision, the
  caller's estimate, is the baseline.

  Scenario Outline: estimates for steps that have done <tasks> times <part> of a task
    When 300 steps of 6 images have done <tasks> times <part> of a task
    Then the error of the steps' means is at most <share> of the callers'
    And 55 to 90 % of the run times are within the stated spread
    And no more healthy tasks than by the callers' figures count as stuck

    Examples:
      | tasks | part | share |
      | 0     | 1.0  | 0.65  |
      | 8     | 0.1  | 0.14  |
      | 1     | 1.0  | 0.23  |
      | 4     | 1.0  | 0.10  |

  Scenario Outline: slow workers do not raise the estimate, callers do not keep it down
    Given a step of 20 tasks of <run_s> s, 2 of which run at a quarter of the speed
    Then its estimate is the caller's
    When each of its tasks does a tenth of its work 5 times
    Then its run time is estimated within 15 % of <run_s> s

    Examples: the caller says 5.4 s
      | run_s |
      | 3     |
      | 40    |

  Scenario: images whose run times change are learned again
    When 200 steps of 1 images have done 4 times 1.0 of a task
    And 80 more steps take three times as long
    Then further ones are estimated within 40 %

  Scenario: each of many steps at once counts once for its image
    When 600 steps run at once and each ends 3 tasks in turn
    Then 600 times a step was counted
    When 5500 more steps run
    Then the first of them is not remembered any more

  Scenario: another process goes on from 500 rows, which old steps leave
    When 700 steps of 6 images have done 1 times 1.0 of a task
    And another process restores the rows and two that no run time has
    Then both hold 500 rows, 6 images and the queue among them, of at most 25 kB
    And both estimate alike
