Feature: The agent reports correctly what became of the tasks on its VM

  Scenario: a list made before a run does not end the task
    Given a task manager whose worker lists and runs slowly
    When a task is started while a list is being made
    Then after 2 s the task is running and was run once

  Scenario: a run without an answer is retried under the same epoch
    Given a task manager whose worker loses the answer to the first run
    When a task is started
    Then after 2 s the task is running and was run once

  Scenario: a task that the worker has lost is stopped
    Given a task manager whose worker forgets everything after 1 s
    When a task is started
    Then after 3 s the task is stopped and was run once

  Scenario: a task is checkpointed before it is stopped by an eviction
    Given a task manager whose worker lists and runs slowly
    When a task is started
    And it is evicted
    Then after 2 s the task is checkpointed and was run once
    And the worker was asked to throttle, checkpoint, stop in that order

  Scenario: tasks are stopped before the VM lease expires
    Given a task manager whose worker lists and runs slowly
    When a task is started
    And the VM lease is not extended
    Then after 7 s the task is checkpointed and was run once

  Scenario: an agent is killed between an eviction and its report
    Given a task manager whose worker lists and runs slowly
    When a task is started
    And it is evicted
    And the agent is killed and another one adopts its tasks
    Then after 2 s the task is stopped and was run once
    And it is reported with its last checkpoint

  Scenario: a task is done between its checkpoint and its stop
    Given a task manager whose worker finishes a task after its checkpoint
    When a task is started
    And it is evicted
    Then after 2 s the task is done and was run once

  Scenario: a task fails between its checkpoint and its stop
    Given a task manager whose worker fails a task after its checkpoint
    When a task is started
    And it is evicted
    Then after 2 s the task is failed and was run once

  Scenario: an agent that hands over renews the leases of its tasks
    Given a task manager whose worker works well
    When a task is started
    And the agent hands over 0.8 s after the lease was renewed
    Then its last call was a renewal of 4 s

  Scenario: an agent renews adopted leases as soon as it has a VM lease
    Given an agent that adopts a task of the previous agent
    Then it renews the lease within 0.3 s of having a VM lease
