Feature: The workflow registry applies the entries of the log

  Scenario: tasks wait for the steps that they depend on
    Given a workflow of steps a (2 tasks), b (1 task after a)
    Then the tasks that may start are 0.0.0, 0.0.1
    When task 0.0.0 runs and ends done
    Then the tasks that may start are 0.0.1
    When task 0.0.1 runs and ends done
    Then the tasks that may start are 0.1.0
    When task 0.1.0 runs and ends done
    Then the workflow is completed

  Scenario Outline: the end of an attempt decides whether the task is retried
    Given a workflow of steps a (1 task) with 2 attempts
    When task 0.0.0 runs and ends <end>
    Then the workflow is <phase> and its task may start: <retried>

    Examples:
      | end         | phase     | retried |
      | done        | completed | no      |
      | failed      | running   | yes     |
      | interrupted | running   | yes     |
      | not_run     | queued    | yes     |

  Scenario: only failed attempts count towards the limit
    Given a workflow of steps a (1 task) with 2 attempts
    When task 0.0.0 runs and ends interrupted
    And task 0.0.0 runs and ends failed
    And task 0.0.0 runs and ends not_run
    Then the workflow is running and its task may start: yes
    When task 0.0.0 runs and ends failed
    Then the workflow is failed and its task may start: no

  Scenario: the end of an earlier attempt changes nothing
    Given a workflow of steps a (1 task) with 3 attempts
    When task 0.0.0 runs and ends interrupted
    And task 0.0.0 runs
    And attempt 1 of 0.0.0 ends done
    Then the workflow is running and its task may start: no

  Scenario: a cancelled workflow starts no task, but its attempts stay assigned
    Given a workflow of steps a (2 tasks)
    When task 0.0.0 runs
    And the workflow is cancelled by its caller
    Then the workflow is cancelled and its task may start: no
    And 1 attempt is assigned to the VM
    When attempt 1 of 0.0.0 ends interrupted
    Then 0 attempts are assigned to the VM

  Scenario: a task keeps its checkpoint until a newer one is reported
    Given a workflow of steps a (1 task)
    When task 0.0.0 runs and ends interrupted with checkpoint c1
    And task 0.0.0 runs and ends interrupted
    Then task 0.0.0 resumes from c1

  Scenario: the end and the checkpoint of one member hold for the whole gang
    Given a gang of 3 tasks
    When tasks 0.0.0, 0.0.1 and 0.0.2 run
    And attempt 1 of 0.0.1 ends interrupted with checkpoint c1
    Then no task may start
    When attempt 1 of 0.0.0 ends interrupted
    And attempt 1 of 0.0.2 ends interrupted
    Then all 3 tasks may start from c1
    When tasks 0.0.0, 0.0.1 and 0.0.2 run
    And attempt 2 of 0.0.2 ends done
    Then the workflow is completed

  Scenario: the failures of all members of a gang are added up
    Given a gang of 2 tasks with 2 attempts
    When tasks 0.0.0 and 0.0.1 run
    And attempt 1 of 0.0.0 ends failed
    And attempt 1 of 0.0.1 ends interrupted
    Then the workflow is running
    When tasks 0.0.0 and 0.0.1 run
    And attempt 2 of 0.0.1 ends failed
    Then the workflow is failed

  Scenario: a standing workflow never fails and never completes
    Given a standing workflow of 1 task with 1 attempt
    When task 0.0.0 runs and ends failed
    And task 0.0.0 runs and ends done
    Then the workflow is running
    And its task may start again

  Scenario: every occurrence runs all steps
    Given a workflow of 2 occurrences of 1 task
    When task 0.0.0 runs and ends done
    Then the workflow is running
    When task 1.0.0 runs and ends done
    Then the workflow is completed

  Scenario: an ended workflow is reduced to its phase, and dropped later
    Given a workflow of steps a (1 task)
    When task 0.0.0 runs and ends done
    And the workflows that ended before it are pruned
    Then the workflow is completed
    When the workflows that have ended are pruned
    Then the workflow is unknown

  Scenario: handling a task repeatedly does not parse its identity again
    Then the identity 0123456789abcdef.1.2.3 is parsed once
    And the identity 0123456789abcdef.1.2 is refused each time
