Feature: The board says what the journal of workflows says

  Scenario: tasks wait for the steps before them
    Given a workflow of steps a (2 tasks), b (1 task after a)
    Then the tasks that may start are 0.0.0, 0.0.1
    When task 0.0.0 runs and ends done
    Then the tasks that may start are 0.0.1
    When task 0.0.1 runs and ends done
    Then the tasks that may start are 0.1.0
    When task 0.1.0 runs and ends done
    Then the workflow is completed

  Scenario Outline: how an attempt ended decides what follows
    Given a workflow of steps a (1 task) with 2 attempts
    When task 0.0.0 runs and ends <first>
    Then the workflow is <phase> and its task may start <again>

    Examples:
      | first       | phase     | again |
      | done        | completed | no    |
      | failed      | running   | yes   |
      | interrupted | running   | yes   |
      | not_run     | running   | yes   |

  Scenario: only failed attempts count
    Given a workflow of steps a (1 task) with 2 attempts
    When task 0.0.0 runs and ends interrupted
    And task 0.0.0 runs and ends failed
    And task 0.0.0 runs and ends not_run
    Then the workflow is running and its task may start yes
    When task 0.0.0 runs and ends failed
    Then the workflow is failed and its task may start no

  Scenario: an end of an older attempt changes nothing
    Given a workflow of steps a (1 task) with 3 attempts
    When task 0.0.0 runs and ends interrupted
    And task 0.0.0 runs
    And attempt 1 of 0.0.0 ends done
    Then the workflow is running and its task may start no

  Scenario: nothing of a cancelled workflow starts, and its runs still count
    Given a workflow of steps a (2 tasks)
    When task 0.0.0 runs
    And the workflow is cancelled by its caller
    Then the workflow is cancelled and its task may start no
    And 1 attempt counts on the VM
    When attempt 1 of 0.0.0 ends interrupted
    Then 0 attempts count on the VM

  Scenario: a checkpoint stays with its task until a newer one comes
    Given a workflow of steps a (1 task)
    When task 0.0.0 runs and ends interrupted with checkpoint c1
    And task 0.0.0 runs and ends interrupted
    Then task 0.0.0 resumes from c1

  Scenario: a gang is done by one end, and resumes from any member's progress
    Given a gang of 3 tasks
    When tasks 0.0.0, 0.0.1 and 0.0.2 run
    And attempt 1 of 0.0.1 ends interrupted with checkpoint c1
    Then no task may start until the others have ended
    When attempt 1 of 0.0.0 ends interrupted
    And attempt 1 of 0.0.2 ends interrupted
    Then all 3 may start, from c1
    When tasks 0.0.0, 0.0.1 and 0.0.2 run
    And attempt 2 of 0.0.2 ends done
    Then the workflow is completed

  Scenario: the failures of a gang's members are the gang's
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

  Scenario: every occurrence runs its steps
    Given a workflow of 2 occurrences of 1 task
    When task 0.0.0 runs and ends done
    Then the workflow is running
    When task 1.0.0 runs and ends done
    Then the workflow is completed

  Scenario: an ended workflow keeps only its phase, and only for a while
    Given a workflow of steps a (1 task)
    When task 0.0.0 runs and ends done
    And the board is pruned of what ended before it
    Then the workflow is completed
    When the board is pruned of what ended up to now
    Then the workflow is unknown
