Feature: Workers that stand still, are slow or fail everything are found

  Scenario Outline: a task whose progress is <kind>
    Given a task that is estimated at <estimate_s> s and gets <percent> % a second
    When it is listed each half second for <seen_s> s
    Then the attempt counts as <verdict>

    Examples: estimates that are off, and workers that are not sound
      | kind                        | estimate_s | percent | seen_s | verdict |
      | as estimated                | 2          | 50      | 3      | sound   |
      | off by 0.9                  | 5.4        | 10      | 4      | sound   |
      | off, with data on a far rack | 5.4       | 7       | 4      | sound   |
      | none                        | 5.4        | 0       | 3      | stuck   |
      | that of a worker 6.5 times slower | 5.4  | 2.8     | 4      | stuck   |
      | none, but it has just begun | 5.4        | 0       | 1.5    | sound   |
      | none, and it lasts          | 0          | 0       | 9      | sound   |
      | a percent at times, as it is long | 200  | 0.5     | 12     | sound   |

  Scenario: a task that is slowed down on purpose is not stuck
    Given a task that is estimated at 5.4 s and gets 0 % a second
    When it is listed each half second for 5 s, at a pace of 20 %
    Then the attempt counts as sound

  Scenario: stuck tasks move once, and only where they gain by it
    Given a VM with stuck tasks, and a sound one with room
      | task       | progress | checkpointing | gang |
      | young      | 10       | no            | no   |
      | nearly     | 90       | no            | no   |
      | saves      | 90       | yes           | no   |
      | member     | 10       | yes           | yes  |
    When the tasks to rescue are chosen
    Then those to rescue are young and saves
    When the tasks to rescue are chosen
    Then those to rescue are none

  Scenario: a retry avoids the VM on which the task failed
    Given a task that failed on v1, and VMs v1 and v2 with room
    When it is placed 20 times
    Then it never goes to v1

  Scenario: a retry goes back where nothing else has room
    Given a task that failed on v1, and VMs v1 with room and v2 without
    When it is placed 20 times
    Then it always goes to v1
