Feature: The time that an attempt works at full pace is measured

  The leader learns run times from differences of this time and of the
  progress: time that is counted without progress, or progress without time,
  makes every estimate wrong.

  Scenario Outline: the rate of an attempt <kind>
    Given an attempt that takes 4 s at full pace, <start>
    When it is listed every <interval_ms> ms, at paces of <paces> % in turn
    And its end is listed 0 s late
    Then its counted time and its progress give 4 s within <percent> %

    Examples: paces, restored checkpoints and slow lists
      | kind                              | start                        | interval_ms | paces      | percent |
      | at full pace                      | from nothing                 | 500         | 100        | 3       |
      | that is paced down at times       | from nothing                 | 300         | 100 and 30 | 3       |
      | that is paused at times           | from nothing                 | 500         | 0 and 100  | 3       |
      | that restores a checkpoint of 40 % | from 40 % after 600 ms      | 500         | 100        | 3       |
      | that restores it while paced down | from 40 % after 250 ms       | 400         | 50         | 3       |
      | that is listed late               | from nothing                 | 1400        | 100        | 3       |

  Scenario: an end that is listed late adds no more than the rest of the work
    Given an attempt that takes 4 s at full pace, from nothing
    When it is listed every 500 ms, at paces of 100 % in turn
    And its end is listed 9 s late
    Then its counted time and its progress give 4 s within 5 %

  Scenario: nothing is counted while an earlier agent's pace is in force
    Given an attempt that takes 4 s at full pace, from nothing
    When it is listed at an unknown pace for 2 s
    Then no time is counted
