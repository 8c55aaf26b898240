Feature: Tasks are moved once for each attempt

  Scenario Outline: a slow task that <how>
    Given a best-effort task that a VM has slowed down for 4 s
    When another VM is free, and the task is stuck in rounds <rounds> of 3
    Then it is stopped once, as <reason>

    Examples: its stop is not answered yet
      | how                         | rounds | reason |
      | is stuck in the same round  | 1 2 3  | stuck  |
      | is stuck before             | 1      | stuck  |
      | gets stuck afterwards       | 2 3    | slowed |

  Scenario: moves of ended tasks are not kept
    Given a best-effort task that a VM has slowed down for 4 s
    When another VM is free, and the task is stuck in rounds 1 of 3
    And its workflow ends
    Then nothing is held of the task
