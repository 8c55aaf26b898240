Feature: Misbehaving tasks and workers do not affect other work

  Scenario: a task that ignores the stop order ends with its worker lease
    Given a running site
    When 2 tank-watch tasks run that ignore the stop order
    And their job is cancelled
    Then within 15 s their job has 2 cancelled tasks
    And none of its tasks is running

  Scenario: many jobs are cancelled right after their submission
    Given a running site
    When 30 tank-watch jobs are submitted and cancelled at once
    Then within 15 s each job is cancelled
    And none of their tasks is running

  Scenario: a job that fails on every VM ends with the reason
    Given a running site
    When 1 settlement-run tasks run that fail
    Then within 20 s their job has 1 failed tasks
    And its task ran on 3 different VMs and reports "exit status 1"

  Scenario: a non-idempotent task that fails is not retried
    Given a running site
    When 1 shipment-plan tasks run that fail
    Then within 10 s their job has 1 failed tasks
    And its task ran on 1 different VMs and reports "exit status 1"

  Scenario: a worker that fails every task is quarantined and probed
    Given a running site
    When a worker fails every task
    And 40 settlement-run tasks run
    Then within 30 s their job has 40 done tasks
    And the failing worker received at most 14 of them

  Scenario: a lost task waits for an operator's decision
    Given a running site
    When 4 shipment-plan tasks run
    And a VM with some of them dies
    Then within 15 s some of the tasks are lost
    When the operator requeues the lost tasks
    Then within 30 s their job has 4 done tasks

  Scenario: urgent tasks start in time on a full site
    Given a running site
    When 28 tank-watch tasks run
    And 4 settlement-run tasks are submitted
    Then the urgent tasks have all started within 3.4 s
    And every evicted task is running again, from its last checkpoint, within 20 s
