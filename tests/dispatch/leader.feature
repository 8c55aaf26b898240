Feature: A leader puts on record what happens, and tells nothing before

  Background:
    Given a leader of a platform store, with a VM that follows it

  Scenario: a workflow is started once it is on record, and completed once its ends are
    When a workflow of 2 tasks is submitted
    Then the caller is told that it is found
    And within 2 s the VM is ordered to start 2 tasks
    When the VM reports both as done
    Then within 2 s the workflow is shown as completed
    And the VM may forget both ends

  Scenario: nothing starts and nothing is accepted while the store is away
    When the store goes away and two workflows are submitted
    Then the callers are told that one is uncertain, and to ask another leader
    And that took less than 1.9 s
    And the VM is ordered to start nothing

  Scenario: a retry of a submission is one workflow
    When the same workflow is submitted three times at once
    Then each caller is told that it is found
    And within 2 s the VM is ordered to start 2 tasks

  Scenario: a cancelled workflow is stopped
    When a workflow of 2 tasks is submitted
    And within 2 s the VM is ordered to start 2 tasks
    And the VM reports them as running
    And the workflow is cancelled
    Then within 2 s the VM is ordered to stop 2 tasks

  Scenario: an unknown workflow is absent only on proof
    When an unknown workflow is asked for
    Then the caller is told that it is absent
    When the store goes away for longer than a proof lasts
    And an unknown workflow is asked for
    Then the caller is told that it is uncertain

  Scenario: what a full report does not list is started again under a new number
    When a workflow of 2 tasks is submitted
    And within 2 s the VM is ordered to start 2 tasks
    And the VM reports that it has none of them
    Then within 2 s the VM is ordered to start them again, as attempt 2

  Scenario: a restarted agent never learns what its tasks are
    When a filling and a serving task are submitted
    And within 2 s the VM is ordered to start 2 tasks
    And the VM reports them without their orders, and one that is on no record
    Then it is told both orders again, and of no other

  Scenario: a VM whose lease has run out is lost
    When a workflow of 2 tasks is submitted
    And within 2 s the VM is ordered to start 2 tasks
    And the VM is not heard for longer than its lease
    And another VM follows
    Then within 2 s the other VM is ordered to start them, as attempt 2

  Scenario: a VM is lost while a deadline on its worker's earlier clock may hold it
    When a workflow of 2 tasks is submitted
    And within 2 s the VM is ordered to start 2 tasks
    And the VM reports them on another boot of its worker, and is heard no more
    And another VM follows
    Then the other VM is ordered to start them after 3 s, not before

  Scenario: a filling task that disturbs is moved when another VM has room
    Given another VM follows, without serving tasks
    When a filling task that disturbs runs beside a serving one
    Then within 4 s the VM is ordered to stop 1 task

  Scenario Outline: how long a VM that was never heard may still run tasks
    Given a leader of 0.5 s grace and 1.2 s leases whose predecessor <ended>
    Then a VM that was never heard is lost after <wait_s> s, not before

    Examples:
      | ended                          | wait_s |
      | was replaced                   | 1.7    |
      | resigned with 0.4 s left of it | 0.4    |
      | resigned without a word of it  | 1.2    |
      | was proved dead for 0.3 s      | 0.9    |

  Scenario: figures of serving tasks that have ended are kept for good
    When figures of 2 serving tasks come, of which one runs
    Then within 3 s only the figure of that one is known

  Scenario: what was learnt of images outlives its leader
    When an image is learnt to disturb and another one not
    Then within 3 s a leader in a new process knows both as they are

  Scenario: tasks of a queue that wants advice go only where it is given
    Given another VM follows, without serving tasks
    And an advisor that permits only vm2, and answers the second time
    When an advised workflow of 2 tasks is submitted
    Then within 3 s vm2 is ordered to start 2 tasks, with its ticket
    And vm1 is ordered to start nothing
    And the advisor was asked 2 times about the step

  Scenario: a ticket that a worker refuses is asked for again
    Given an advisor that permits only vm1
    When an advised workflow of 2 tasks is submitted
    Then within 3 s vm1 is ordered to start 2 tasks, with its ticket
    When the VM reports that neither has run
    Then within 4 s vm1 is ordered to start 2 tasks, with a new ticket

  Scenario: a worker that fails everything gets one task at a time, again
    When a standing workflow of 1 task is submitted
    And the tasks of 3 workflows fail on vm1
    Then vm1 takes no task for 3 s, then one

  Scenario: workflows that fail everywhere put no VM into quarantine
    When another VM follows
    And the tasks of 5 workflows fail on vm2
    And the tasks of 5 workflows fail on vm1
    Then vm1 takes any number of tasks

  Scenario: nothing is placed where the tasks of several workflows stand still
    When 2 workflows run on vm1
    And another VM follows
    And vm1 reports that their tasks stand still
    Then vm1 takes no task at all
    And within 3 s the VM is ordered to stop 2 tasks
