Feature: Stuck and slow tasks are detected, and retries avoid failed VMs

  Scenario Outline: a task whose progress is <kind>
    Given a task that is estimated at <estimate_s> s and does <percent> % a second
    When it is listed each half second for <listed_s> s
    Then the attempt counts as <verdict>

    Examples: wrong estimates, and unhealthy workers
      | kind                        | estimate_s | percent | listed_s | verdict |
      | as estimated                | 2          | 50      | 3        | healthy |
      | off by 0.9                  | 5.4        | 10      | 4        | healthy |
      | off, with data on another rack | 5.4     | 7       | 4        | healthy |
      | none                        | 5.4        | 0       | 3        | stuck   |
      | that of a worker 6.5 times slower | 5.4  | 2.8     | 4        | stuck   |
      | none, but it has just started | 5.4      | 0       | 1.5      | healthy |
      | none, and it has no end     | 0          | 0       | 9        | healthy |
      | below a percent a second, as it is long | 200 | 0.5 | 12      | healthy |

  Scenario: a task that is paced down is not stuck
    Given a task that is estimated at 5.4 s and does 0 % a second
    When it is listed each half second for 5 s, at a pace of 20 %
    Then the attempt counts as healthy

  Scenario: stuck tasks are moved once, and only where a restart is worth it
    Given a VM with stuck tasks, and a healthy one with free capacity
      | task       | progress | checkpointing | gang |
      | early      | 10       | no            | no   |
      | late       | 90       | no            | no   |
      | resumable  | 90       | yes           | no   |
      | member     | 10       | yes           | yes  |
    When the stuck tasks to move are chosen
    Then the moved tasks are early and resumable
    When the stuck tasks to move are chosen
    Then the moved tasks are none

  Scenario Outline: tasks that are as slow as the others of their step stay
    Given a step of 10 tasks on 10 VMs, <stuck> of which are stuck, and a free VM
    When the stuck tasks to move are chosen
    Then <moved> tasks move

    Examples: few are stuck on slow workers, most where the estimate is wrong
      | stuck | moved |
      | 2     | 2     |
      | 5     | 5     |
      | 6     | 0     |
      | 10    | 0     |

  Scenario: a retry avoids the VM on which the task failed
    Given a task that failed on v1, and free VMs v1 and v2
    When it is placed 20 times
    Then it never goes to v1

  Scenario: a retry goes back to the same VM if no other has free capacity
    Given a task that failed on v1, a free VM v1 and a full VM v2
    When it is placed 20 times
    Then it always goes to v1
