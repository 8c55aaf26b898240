Feature: The agent slows best-effort tasks down to protect serving tasks

  Scenario: a pace call without an answer does not delay those of other tasks
    Given a supervisor whose worker runs a serving task and 3 best-effort ones
    And pace calls for the first best-effort task get no answer
    When the serving task exceeds its latency target 1 time
    Then each time the other best-effort tasks are paused within 0.7 s of the poll

  Scenario: a heavy task with a weight of 0 is paused as well
    Given a supervisor whose worker runs a serving task and a heavy best-effort one of weight 0
    When the serving task exceeds its latency target 1 time
    Then each time all best-effort tasks are paused within 0.7 s of the poll

  Scenario: a worker that reports no capacity does not crash its agent
    Given a supervisor whose worker reports no capacity and runs a serving task and a heavy best-effort one
    When the serving task exceeds its latency target 1 time
    Then each time all best-effort tasks are paused within 0.7 s of the poll

  Scenario: a paused task is reported without further work at full pace
    Given a supervisor whose worker runs a serving task and 2 best-effort ones
    And pace calls for the first best-effort task get no answer
    When the serving task exceeds its latency target for 2 s
    Then the second best-effort task is reported with less work than the first, at a pace of 0 %

  Scenario: the leader's ranks decide which heavy task gets the headroom
    Given a supervisor whose worker runs a serving task and 2 heavy best-effort ones, with headroom for one
    When the leader ranks the second one first
    Then within 1.5 s only the second one runs
    And the first one was paused before the second one ran

  Scenario: a new task in front does not run beside the one that it replaces
    Given a supervisor whose worker runs a serving task and 2 heavy best-effort ones, with headroom for one
    When the leader ranks the second one first
    And the second one has just started
    Then within 0.3 s only the second one runs

  Scenario: ranks that the leader does not renew are dropped
    Given a supervisor whose worker runs a serving task and 2 heavy best-effort ones, with headroom for one
    When the leader ranks the second one first
    And it sends reports without ranks for 3.5 s
    Then within 1.5 s only the first one runs

  # The task stood still until it was paced the next time: a full pace was not
  # repeated, and a call without an answer was taken for one without effect.
  Scenario Outline: a pause that is carried out <late_s> s late does not last
    Given a supervisor whose worker runs a serving task and 1 best-effort ones
    And the next pace call is carried out after <late_s> s, without an answer
    When the serving task exceeds its latency target for 0.7 s, and has no load for 6 s
    Then within 3.5 s all best-effort tasks run at full pace

    Examples:
      | late_s |
      | 0.5    |
      | 5      |
