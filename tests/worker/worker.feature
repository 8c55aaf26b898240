Feature: The HTTP client follows the contract of the worker

  Background:
    Given a worker of 8000 millicores behind a proxy

  Scenario: a task is run, frozen, checkpointed, stopped and forgotten
    When task j/0 is run under epoch 1 for 30 s of work and a lease of 5 s
    Then the worker lists j/0 as running under epoch 1
    When j/0 is throttled to 0, checkpointed and stopped
    Then the worker lists j/0 as stopped under epoch 1
    And its work ended at the checkpoint
    When j/0 is forgotten
    Then the worker lists nothing

  Scenario: a repeated run has no effect, and a run of an older epoch is refused
    When task j/0 is run under epoch 2 for 30 s of work and a lease of 5 s
    And task j/0 is run under epoch 2 for 30 s of work and a lease of 5 s
    Then the task was started once
    And a run under epoch 1 is rejected

  Scenario: a task whose lease is not renewed is stopped
    When task j/0 is run under epoch 1 for 30 s of work and a lease of 0.5 s
    Then within 1 s the worker lists j/0 as stopped under epoch 1

  Scenario: a task whose lease is renewed keeps running
    When task j/0 is run under epoch 1 for 30 s of work and a lease of 0.5 s
    And its lease is renewed for 5 s and 1 s passes
    Then the worker lists j/0 as running under epoch 1

  Scenario Outline: a worker that does not answer is unavailable
    When the worker's connection is <fault>
    Then listing its tasks fails as unavailable within 2 s

    Examples:
      | fault          |
      | refused        |
      | silent         |
      | losing answers |
