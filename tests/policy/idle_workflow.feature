Feature: An accepted workflow does not wait idle beside free capacity

  Preferences of placement, such as the headroom of serving tasks, may delay
  best-effort tasks. Callers take a workflow for lost when nothing of it runs
  for 3 s while there is capacity. A commit and a start take up to a second.

  Scenario Outline: a workflow that is kept from all VMs is not lost: <reason>
    Given 4 VMs on which best-effort tasks are unwanted: <reason>
    When a workflow of 12 best-effort tasks is placed for 20 s, each running 1.5 s
    Then some task of it ran each time within 2 s

    Examples:
      | reason          |
      | headroom        |
      | new image       |
      | busy processors |

  Scenario Outline: best-effort tasks that need each other are not kept apart: <kind>
    Given 4 VMs on which best-effort tasks are unwanted: busy processors
    When a workflow of 12 best-effort tasks is placed for 20 s as a <kind>
    Then each task of it has started within 2 s

    Examples:
      | kind          |
      | gang          |
      | standing step |

  Scenario: a task without idle processors goes where there are some
    Given 4 VMs with neither serving tasks nor idle processors
    And one more with a serving task and idle processors
    When a workflow of 12 best-effort tasks is placed for 2 s, each running 9 s
    Then it is the only VM that gets tasks

  Scenario: attempts that a VM refuses do not begin the wait anew
    Given 4 VMs on which best-effort tasks are unwanted: headroom
    And one more without tasks that refuses each one after 0 s, for 0.7 s
    When a workflow of 12 best-effort tasks is placed for 20 s, each running 1.5 s
    Then some task of it ran each time within 2 s

  Scenario: the time that a refusal takes is part of the wait
    Given 4 VMs on which best-effort tasks are unwanted: headroom
    And one more without tasks that refuses each one after 2.25 s, for 0.7 s
    When a workflow of 12 best-effort tasks is placed for 20 s, each running 1.5 s
    Then some task of it ran each time within 2.25 s

  # An assignment ended the wait, also if the worker answered nothing.
  Scenario: attempts that do not run do not keep the others waiting
    Given 4 VMs on which best-effort tasks are unwanted: headroom
    And one more without tasks that refuses each one after 8 s, for 0.7 s
    When a workflow of 12 best-effort tasks is placed for 20 s, each running 1.5 s
    Then 4 tasks of it have started within 2 s

  # All other VMs refused the tasks for 10 s, and the one that the workflow had
  # waited for was free again.
  Scenario: a VM that did not run attempts is used if no other one admits them
    Given 4 VMs that are full
    And one more without tasks that refuses each one after 3 s, for 0.7 s
    When a workflow of 12 best-effort tasks is placed for 6 s, each running 1.5 s
    Then tasks were placed there again within 1.5 s of the refusals

  Scenario: the time before an occurrence is due is no wait
    Given 4 VMs on which best-effort tasks are unwanted: headroom
    When a scheduled workflow of best-effort tasks is planned from 3 s before it is due
    Then it starts no task within 1 s of being due

  Scenario: a new leader does not begin the wait anew
    Given 4 VMs on which best-effort tasks are unwanted: headroom
    When a workflow that was accepted 3 s before is planned by a new leader
    Then it starts a task within 0.5 s

  Scenario Outline: a clock that is set back <state> makes no wait longer
    Given 4 VMs on which best-effort tasks are unwanted: headroom
    When a workflow is planned on a clock that is set back by 30 s <state>
    Then it starts a task within 1.5 s

    Examples:
      | state                     |
      | while it waits            |
      | before a change of leader |
