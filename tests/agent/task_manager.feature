Feature: The agent tells truly what became of the tasks on its VM

  Scenario: a list that was made before a run is no word about it
    Given a task keeper whose worker makes its lists late
    When a task is started while a list is being made
    Then after 2 s the task is running and was run once

  Scenario: a run without an answer is run again under the same epoch
    Given a task keeper whose worker loses the answer to the first run
    When a task is started
    Then after 2 s the task is running and was run once

  Scenario: a task that the worker lost has stopped
    Given a task keeper whose worker forgets everything after 1 s
    When a task is started
    Then after 3 s the task is stopped and was run once

  Scenario: a task is evicted only with a checkpoint of its last moment
    Given a task keeper whose worker makes its lists late
    When a task is started
    And it is evicted
    Then after 2 s the task is checkpointed and was run once
    And the worker was asked to throttle, checkpoint, stop in that order

  Scenario: tasks are stopped before the VM lease ends
    Given a task keeper whose worker makes its lists late
    When a task is started
    And the VM lease is not extended
    Then after 7 s the task is checkpointed and was run once

  Scenario: an agent that was killed between an eviction and its report
    Given a task keeper whose worker makes its lists late
    When a task is started
    And it is evicted
    And the agent is killed and another one adopts its tasks
    Then after 2 s the task is stopped and was run once
    And it is reported with the checkpoint of its last moment

  Scenario: a task that is done between its checkpoint and its stop
    Given a task keeper whose worker finishes a task after its checkpoint
    When a task is started
    And it is evicted
    Then after 2 s the task is done and was run once

  Scenario: a task that fails between its checkpoint and its stop
    Given a task keeper whose worker fails a task after its checkpoint
    When a task is started
    And it is evicted
    Then after 2 s the task is failed and was run once

  Scenario: an agent that leaves gives its tasks their whole lease
    Given a task keeper whose worker works well
    When a task is started
    And the agent leaves 0.8 s after the lease was renewed
    Then its last act was a renewal of 4 s

  Scenario: an agent renews the leases that it adopts as soon as it may
    Given an agent that adopts a task of the agent before it
    Then it renews the lease within 0.3 s of having a VM lease
