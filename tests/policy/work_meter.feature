Feature: The time that an attempt works at full pace is measured

  Time without progress, or progress without time, makes run times wrong.

  Scenario Outline: an attempt of 4 s at full pace that <kind>
    Given an attempt from <first> % that restores for <restore_ms> ms
    When it is listed every <interval_ms> ms, at paces of <paces> % in turn, and its end <late_s> s late
    Then its counted time and its progress give 4 s within <percent> %

    Examples: paces, restored checkpoints and slow lists
      | kind                           | first | restore_ms | interval_ms | paces      | late_s | percent |
      | is at full pace                | 0     | 0          | 500         | 100        | 0      | 3       |
      | is paced down at times         | 0     | 0          | 300         | 100 and 30 | 0      | 3       |
      | is paused at times             | 0     | 0          | 500         | 0 and 100  | 0      | 3       |
      | restores a checkpoint          | 40    | 600        | 500         | 100        | 0      | 3       |
      | restores it while paced down   | 40    | 250        | 400         | 50         | 0      | 3       |
      | is listed late                 | 0     | 0          | 1400        | 100        | 0      | 3       |
      | has ended long before its list | 0     | 0          | 500         | 100        | 9      | 5       |

  Scenario: nothing is counted while an earlier agent's pace is in force
    Given an attempt from 0 % that restores for 0 ms
    When it is listed at an unknown pace
    Then no time is counted
