Feature: The adapter speaks to a worker as the contract says

  Background:
    Given a worker of 8000 millicores behind a proxy

  Scenario: a task runs, is frozen, checkpointed, stopped and forgotten
    When task j/0 is run under epoch 1 for 30 s of work and a lease of 5 s
    Then the worker lists j/0 as running under epoch 1
    When j/0 is throttled to 0, checkpointed and stopped
    Then the worker lists j/0 as stopped under epoch 1
    And its work went no further than the checkpoint
    When j/0 is forgotten
    Then the worker lists nothing

  Scenario: the same run again changes nothing, an older one is refused
    When task j/0 is run under epoch 2 for 30 s of work and a lease of 5 s
    And task j/0 is run under epoch 2 for 30 s of work and a lease of 5 s
    Then there was one run
    And a run under epoch 1 is refused

  Scenario: a run whose lease is not renewed is stopped
    When task j/0 is run under epoch 1 for 30 s of work and a lease of 0.5 s
    Then within 1 s the worker lists j/0 as stopped under epoch 1

  Scenario: a renewed run goes on
    When task j/0 is run under epoch 1 for 30 s of work and a lease of 0.5 s
    And its lease is renewed for 5 s and 1 s passes
    Then the worker lists j/0 as running under epoch 1

  Scenario Outline: without an answer the worker counts as unavailable
    When the worker's link is <fault>
    Then listing fails within 2 s as unavailable

    Examples:
      | fault    |
      | refused  |
      | silent   |
      | deaf     |
