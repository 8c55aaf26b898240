Feature: Decisions about workflows, apart from any network

  Scenario: what can still be in time goes before what is late
    Given workflows
      | name | priority | age_s | chain_s | standing |
      | late | 1        | 30    | 10      | no       |
      | soon | 1        | 5     | 4       | no       |
      | calm | 1        | 1     | 10      | no       |
      | lost | 1        | 90    | 10      | no       |
      | top  | 0        | 1     | 10      | no       |
      | all  | 1        | 60    | 10      | yes      |
    Then they are ranked top all soon calm late lost

  Scenario: tasks go only where they fit
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 1     | 1000    | z0   | k,r1   |
      | b  | 8     | 50      | z0   | k,r1   |
      | c  | 8     | 1000    | z1   | g,r2   |
    When a step of 3 tasks of 2 cores and 300 MB is planned
    Then 3 tasks go to c
    When a step of 2 tasks of 2 cores and 300 MB that needs label k is planned
    Then nothing is placed

  Scenario: no more tasks of a step go to a VM than it allows
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    When a step of 6 tasks with at most 2 on a VM is planned
    Then 2 tasks go to a and 2 tasks go to b

  Scenario: data is followed where there is room
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r2   |
    When a step of 3 tasks of 2 cores with its data on r1 is planned
    Then 2 tasks go to a and 1 task goes to b

  Scenario: a gang is placed whole, under one number, or not at all
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 4     | 9000    | z0   | k,r2   |
    When a gang of 4 tasks of 2 cores is planned
    Then 2 tasks go to a and 2 tasks go to b
    And all of them have one number
    When a gang of 5 tasks of 2 cores is planned
    Then nothing is placed

  Scenario: a gang that wants one rack gets it where one has room
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 4     | 9000    | z0   | k,r2   |
      | c  | 4     | 9000    | z0   | k,r2   |
    When a gang of 3 tasks of 2 cores on one rack is planned
    Then none goes to a

  Scenario: an occurrence starts when it is due, not before
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    When a step of 3 occurrences, one due 1 s ago and one each 10 s, is planned
    Then the tasks of occurrence 0 are placed

  Scenario: filling tasks that disturb wait, and are not kept waiting forever
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And an image that disturbs
    When a step of 2 filling tasks of that image is planned
    Then nothing is placed
    When it is planned again 5 s later
    Then 2 tasks go to a

  Scenario: filling tasks that hardly disturb go beside serving ones
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And an image that hardly disturbs
    When a step of 2 filling tasks of that image is planned
    Then 2 tasks go to a

  Scenario: an image that is not known is tried by one task
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    When a step of 3 filling tasks of a new image is planned
    Then 1 task goes to a

  Scenario Outline: weights follow what images do
    When an image whose tasks use a tenth of a VM is seen 12 times to let tails grow by <growth>
    Then it counts as <class>

    Examples:
      | growth | class |
      | 0.0    | light |
      | 0.05   | light |
      | 0.8    | heavy |

  Scenario Outline: an image counts as light because it met idle serving tasks
    When an image that takes <taken> of what serving tasks can do meets tasks at a load of <load>
    Then it counts as <class>

    Examples:
      | taken | load | class |
      | 0.3   | 0.2  | heavy |
      | 0.3   | 0.4  | heavy |
      | 0.3   | 0.6  | heavy |
      | 0.02  | 0.2  | light |
      | 0.02  | 0.6  | light |

  Scenario: an image that disturbs now and then does not count as light
    When an image is seen 4 times to let tails grow by 0.9 and 12 times by 0.0, by turns
    Then it counts as heavy

  Scenario: a repeated workflow is ranked by the occurrence that is due
    Given a workflow of 10 s that repeats each 30 s, 95 s after its start
    Then it counts from 90 s when the first three are done
    And it counts from 0 s when none is done
    And another workflow that is due in 12 s goes after it then

  Scenario: the pace falls at once and rises slowly
    Given a VM with heavy and light filling tasks at full pace
    When the worst tail latency is 1.2 of its bound
    Then heavy tasks stand still and light ones work on
    When it is 1.2 again, twice
    Then light tasks stand still, too
    When it is 0.3 for 3 rounds
    Then heavy tasks work at less than half their speed
    And the first works at full speed and the last not at all

  Scenario: without serving tasks nothing is slowed down
    Given a VM with heavy and light filling tasks at full pace
    When nothing serves on it
    Then all work at full speed

  Scenario: a filling task that disturbs moves where nothing serves
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 64    | 9000    | z0   | k,r1   |
      | b  | 64    | 9000    | z0   | k,r1   |
    And a serving task on a
    And an image that disturbs
    When tasks of it run on a, with checkpoints and without
    Then only the one with checkpoints moves

  Scenario Outline: a workflow is looked at again only when something of it changed
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
    When <what> is planned
    Then the workflow <state>
    When an end of it is recorded
    Then the workflow is looked at again

    Examples:
      | what                                       | state              |
      | a step of 2 tasks of 2 cores and 100 MB    | is left alone      |
      | a step of 3 tasks of 2 cores and 100 MB    | is looked at again |
      | a step of 2 tasks that is repeated 3 times | is looked at again |
