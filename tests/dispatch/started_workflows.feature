Feature: A workflow waits until one of its tasks is known to have started

  Background:
    Given a leader on a platform store and a VM that follows it

  # Callers were told that no job waits, and that it runs, while its worker
  # refused each start.
  Scenario Outline: a workflow waits although its task was assigned
    When a workflow of 1 task is assigned to the VM
    And <what>
    Then 1 workflow waits for 1 s, and is shown as queued

    Examples:
      | what                                                     |
      | the VM reports that the worker refused the start         |
      | the VM reports that the start is unanswered              |
      | the VM reports that the attempt was given up             |
      | the VM loses its worker before the start is answered     |
      | the agent of the VM does not report again                |

  Scenario Outline: a workflow has started
    When a workflow of 1 task is assigned to the VM
    And <what>
    Then within 2 s no workflow waits, and it is shown as running

    Examples:
      | what                                                     |
      | the VM reports that it runs                              |
      | the VM reports that it has failed                        |
      | the VM reports that the worker has stopped it            |

  Scenario: a workflow that has started never waits again
    When a workflow of 1 task is assigned to the VM
    And the VM reports that it runs
    Then within 2 s no workflow waits, and it is shown as running
    When the VM reports that the worker has stopped it
    And the VM reports that the worker refused the next start
    Then no workflow waits for 1 s, and it is shown as running

  Scenario Outline: the next leader <knows> from <source>
    When a workflow of 1 task is assigned to the VM
    And <what>
    And another leader takes over, <how>
    Then <shown>

    Examples: of those that have started, and of those that have not
      | knows         | source       | what                        | how                                    | shown                                                  |
      | knows a start | the log      | the VM reports that it runs | and no VM follows it                   | no workflow waits for 1 s, and it is shown as running  |
      | knows a start | a snapshot   | the VM reports that it runs | by a snapshot                          | no workflow waits for 1 s, and it is shown as running  |
      | learns it     | a report     | the agent of the VM does not report again | and the VM reports that it runs | within 2 s no workflow waits, and it is shown as running |
      | knows of none | the log      | the VM reports that the start is unanswered | and no VM follows it     | 1 workflow waits for 1 s, and is shown as queued       |
      | knows of none | a snapshot   | the VM reports that the start is unanswered | by a snapshot            | 1 workflow waits for 1 s, and is shown as queued       |

  # A write to the store for each start would cost as much as the assignments.
  Scenario: starts go into entries that are made anyway, or share one
    When 30 workflows start one after the other, 20 ms apart
    Then within 2 s no workflow waits
    And their starts took at most 3 entries of their own

  # Earlier builds take an assignment for a start.
  Scenario: the records of an earlier build are read as they were meant
    When a workflow of 1 task is assigned to the VM
    And an earlier build has written the snapshot that the next leader reads
    Then no workflow waits for 1 s, and it is shown as running
