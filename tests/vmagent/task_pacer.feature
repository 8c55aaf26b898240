Feature: A seat paces what fills beside what serves

  Scenario: one pace that is not answered delays those of other tasks
    Given a seat whose worker runs a serving task and 3 filling ones
    And paces of the first filling task get no answer
    When the serving task's figure goes over its target, 1 time
    Then each time the other filling tasks are stopped within 0.7 s of the look

  Scenario: a heavy task that has shown no weight yet is never slowed down
    Given a seat whose worker runs a serving task and a heavy filling one of weight 0
    When the serving task's figure goes over its target, 1 time
    Then each time all filling tasks are stopped within 0.7 s of the look

  Scenario: a worker that tells no capacity ends its agent
    Given a seat whose worker tells no capacity and runs a serving task and a heavy filling one
    When the serving task's figure goes over its target, 1 time
    Then each time all filling tasks are stopped within 0.7 s of the look
