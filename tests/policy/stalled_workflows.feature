Feature: A workflow does not wait for attempts that do not run

  # Each round placed one more task while reports were on their way.
  Scenario: one task in 1.5 s takes the place of those that do not run
    Given a workflow that has waited 1.7 s for attempts on vm1
    When a task of it is placed
    Then it is stalled again 1.5 s later, and not before

  Scenario: a clock that is set back delays no task
    Given a workflow that has waited 1.7 s for attempts on vm1
    When a task of it is placed, and the clock is set back by 30 s
    Then it is stalled

  Scenario: a VM that did not run attempts is avoided for 10 s
    Given a workflow that has waited 1.7 s for attempts on vm1
    Then it avoids vm1
    When its attempts on vm1 have ended
    Then it avoids vm1
    When no attempt has waited for 10 s
    Then it avoids no VM
