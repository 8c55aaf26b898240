Feature: Planning of workflows and pacing of best-effort tasks

  Scenario: workflows that can meet their deadlines go before late ones
    Given workflows
      | name | priority | age_s | run_s   | standing |
      | late | 1        | 30    | 10      | no       |
      | soon | 1        | 5     | 4       | no       |
      | calm | 1        | 1     | 10      | no       |
      | lost | 1        | 90    | 10      | no       |
      | top  | 0        | 1     | 10      | no       |
      | all  | 1        | 60    | 10      | yes      |
    Then they are ranked top all soon calm late lost

  Scenario: tasks go only to VMs that fit them
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 1     | 1000    | z0   | k,r1   |
      | b  | 8     | 50      | z0   | k,r1   |
      | c  | 8     | 1000    | z1   | g,r2   |
    When a step of 3 tasks of 2 cores and 300 MB is planned
    Then 3 tasks go to c
    When a step of 2 tasks of 2 cores and 300 MB that needs label k is planned
    Then nothing is placed

  Scenario: a step can limit its tasks per VM
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    When a step of 6 tasks with at most 2 per VM is planned
    Then 2 tasks go to a and 2 tasks go to b

  Scenario: tasks prefer the rack of their data while it has free capacity
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r2   |
    When a step of 3 tasks of 2 cores with its data on r1 is planned
    Then 2 tasks go to a and 1 task goes to b

  Scenario: a gang is placed whole with one attempt number, or not at all
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 4     | 9000    | z0   | k,r2   |
    When a gang of 4 tasks of 2 cores is planned
    Then 2 tasks go to a and 2 tasks go to b
    And all of them have the same attempt number
    When a gang of 5 tasks of 2 cores is planned
    Then nothing is placed

  Scenario: a gang that prefers one rack gets one with enough free capacity
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 4     | 9000    | z0   | k,r2   |
      | c  | 4     | 9000    | z0   | k,r2   |
    When a gang of 3 tasks of 2 cores on one rack is planned
    Then none goes to a

  Scenario: an occurrence starts no earlier than it is due
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    When a step of 3 occurrences, the first due 1 s ago and one each 10 s, is planned
    Then only tasks of occurrence 0 are placed

  Scenario: heavy best-effort tasks wait, but do not starve
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a heavy image
    When a step of 2 best-effort tasks of that image is planned
    Then nothing is placed
    When it is planned again 5 s later
    Then 1 task goes to a

  Scenario: the tasks of a starved workflow do not queue up on one VM
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
      | c  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a serving task on b
    And a serving task on c
    And a heavy image
    When a step of 9 best-effort tasks of that image is planned
    Then nothing is placed
    When it is planned again 5 s later
    Then 3 tasks are placed
    And no VM gets more than 1 task

  Scenario: light best-effort tasks go beside serving tasks
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a light image
    When a step of 2 best-effort tasks of that image is planned
    Then 2 tasks go to a

  Scenario: an unknown image is tried with one task
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    When a step of 3 best-effort tasks of a new image is planned
    Then 1 task goes to a

  Scenario Outline: weights follow the measured interference
    When an image that uses a tenth of a VM raises tail latencies by <growth> in 12 observations
    Then it is classified as <class>

    Examples:
      | growth | class |
      | 0.0    | light |
      | 0.05   | light |
      | 0.8    | heavy |

  Scenario Outline: the load of serving tasks does not change an image's class
    When an image that takes <taken> of a serving task's capacity runs beside a load of <load>
    Then it is classified as <class>

    Examples:
      | taken | load | class |
      | 0.3   | 0.2  | heavy |
      | 0.3   | 0.4  | heavy |
      | 0.3   | 0.6  | heavy |
      | 0.02  | 0.2  | light |
      | 0.02  | 0.6  | light |

  Scenario: saturated VMs do not change the class of images
    Given four light images that another leader has learned
    When they saturate 20 VMs whose serving tasks have just started, and are paused
    Then all four are still light

  Scenario: an image that interferes now and then is not light
    When an image raises tail latencies by 0.9 in 4 observations and by 0.0 in 12, by turns
    Then it is classified as heavy

  Scenario: a repeated workflow is ranked by its first incomplete occurrence
    Given a workflow of 10 s that repeats each 30 s, 95 s after its start
    Then its objective counts from 90 s when the first three are done
    And its objective counts from 0 s when none is done
    And another workflow whose deadline is in 16 s goes after it

  Scenario: the pace falls at once and rises slowly
    Given a VM with heavy and light best-effort tasks at full pace
    When the worst tail latency is 1.2 of its target
    Then heavy tasks stop and light ones keep their pace
    When it is 1.2 again, twice
    Then light tasks stop as well
    When it is 0.3 for 3 rounds
    Then heavy tasks run at less than half of the full pace
    And the first runs at full pace and the last is stopped

  Scenario Outline: slowed light tasks in front run at full pace
    Given light best-effort tasks that take <costs> of headroom, paced at <percent> %
    Then their paces are <paces>
    And they take no more headroom than at the same pace

    Examples:
      | costs               | percent | paces          |
      | 0.1, 0.1, 0.1, 0.1  | 100     | 100 100 100 100 |
      | 0.1, 0.1, 0.1, 0.1  | 50      | 100 100 0 0    |
      | 0.1, 0.1, 0.1, 0.1  | 40      | 100 60 0 0     |
      | 0.3, 0.1, 0.1       | 40      | 60 20 0        |
      | 0, 0, 0             | 60      | 100 80 0       |
      | 0.2, 0.2            | 0       | 0 0            |

  Scenario: a heavy task without processors does not end the pacer
    Given a budget of 0.0728 of headroom
    When heavy tasks that take 0.091 and 0 of it are paced
    Then the first runs at 80 %

  Scenario: without serving tasks no task is paced down
    Given a VM with heavy and light best-effort tasks at full pace
    When it has no serving tasks
    Then all tasks run at full pace

  Scenario: a heavy best-effort task moves to a VM without serving tasks
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a heavy image
    When tasks of it run slowly on a for two rounds, with checkpoints and without
    Then only the one with checkpoints moves

  Scenario: a heavy best-effort task moves to a VM whose serving tasks spare it
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a serving task on b
    And a heavy image
    And the serving tasks of b spare the headroom of 1.1 of its tasks
    When tasks of it run slowly on a for two rounds, with checkpoints and without
    Then only the one with checkpoints moves

  Scenario: a heavy best-effort task stays where no VM spares it
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a serving task on b
    And a heavy image
    And the serving tasks of b spare the headroom of 0.9 of its tasks
    When tasks of it run slowly on a for two rounds, with checkpoints and without
    Then none moves

  Scenario: heavy best-effort tasks that serving tasks can spare do not move
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a heavy image
    And the serving tasks of a spare a headroom of 3
    When tasks of it run slowly on a for two rounds, with checkpoints and without
    Then none moves

  Scenario Outline: heavy best-effort tasks take what serving tasks can spare
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And a heavy image
    And the serving tasks of a spare the headroom of <spare> of its tasks
    When a step of 3 best-effort tasks of that image is planned
    Then <placed> tasks are placed

    Examples:
      | spare | placed |
      | 0.9   | 0      |
      | 1.1   | 1      |
      | 2.1   | 2      |
      | 5.0   | 3      |

  Scenario Outline: a fully placed workflow is planned again after a change
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
    When <what> is planned
    Then the workflow <state>
    When the end of one of its tasks is recorded
    Then the workflow is planned again

    Examples:
      | what                                       | state            |
      | a step of 2 tasks of 2 cores and 100 MB    | is left out      |
      | a step of 3 tasks of 2 cores and 100 MB    | is planned again |
      | a step of 2 tasks that is repeated 3 times | is planned again |
