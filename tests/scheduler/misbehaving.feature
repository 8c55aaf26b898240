Feature: Misbehaving work harms nobody else

  Scenario: a task that ignores stop is ended by its lease
    Given a running site
    When 2 tank-watch tasks run that ignore stop
    And their job is cancelled
    Then within 15 s their job has 2 cancelled
    And nothing of it runs any more

  Scenario: a wave of cancellations
    Given a running site
    When 30 tank-watch jobs are submitted and cancelled at once
    Then within 15 s each is cancelled
    And nothing of them runs any more

  Scenario: a job that fails everywhere ends with its reason
    Given a running site
    When 1 settlement-run tasks run that fail
    Then within 20 s their job has 1 failed
    And it ran on 3 different VMs and tells "exit status 1"

  Scenario: a non-idempotent task that fails is not tried again
    Given a running site
    When 1 shipment-plan tasks run that fail
    Then within 10 s their job has 1 failed
    And it ran on 1 different VMs and tells "exit status 1"

  Scenario: a worker that fails everything is quarantined and probed
    Given a running site
    When a worker fails everything
    And 40 settlement-run tasks run
    Then within 30 s their job has 40 done
    And the failing worker got at most 14 of them

  Scenario: a lost task waits for an operator's decision
    Given a running site
    When 4 shipment-plan tasks run
    And a VM with some of them dies
    Then within 15 s some are lost
    When the operator lets the lost ones run again
    Then within 30 s their job has 4 done

  Scenario: urgent work starts in time on a full site
    Given a running site
    When 28 tank-watch tasks run
    And 4 settlement-run tasks are submitted
    Then the urgent ones have all started within 3.4 s
    And every evicted task is running again, from its last checkpoint, within 20 s
