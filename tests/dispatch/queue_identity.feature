Feature: A workflow belongs to the queue that it was submitted to

  # Two callers of different queues chose the same identity: the second one's
  # workflow was answered as accepted, never ran, and was shown as completed.
  Scenario Outline: another queue's workflow of the same identity is refused
    Given a leader on a platform store and a VM that follows it
    And a workflow of queue q that <state>
    When a workflow of queue bills with its identity is submitted
    Then it is refused, for good, as another queue uses its identity
    And one log line names both queues

    Examples:
      | state                           |
      | waits for its entry             |
      | is running                      |
      | is completed                    |
      | is cancelled                    |
      | the next leader has recovered   |
      | is in a snapshot and completed  |

  # A caller was shown another caller's workflow, and could cancel it.
  Scenario: a workflow can't be seen or cancelled at another queue
    Given a leader on a platform store and a VM that follows it
    And a workflow of queue q that is running
    When it is looked up at queue bills
    Then the caller gets the outcome absent
    When it is cancelled at queue bills
    Then the caller gets the outcome absent
    And it is running at queue q
    When it is cancelled at queue q
    Then it is cancelled at queue q

  # A cancellation that was told to be absent has to outlive the workflow of
  # the other queue, and must not affect it.
  Scenario: a cancellation holds for its own queue only
    Given a leader on a platform store and a VM that follows it
    When an unknown workflow is cancelled at queue bills
    And a workflow of queue q with its identity is submitted
    Then the caller gets the outcome found
    When a workflow of queue bills with its identity is submitted
    Then the caller gets the outcome refused
    When the workflow of queue q is forgotten
    And a workflow of queue bills with its identity is submitted
    Then the caller gets the outcome refused

  # Two cancellations of one identity at different queues shared an answer.
  Scenario: cancellations at two queues are recorded together
    Given a leader on a platform store and a VM that follows it
    And a workflow of queue q that is running
    When it is cancelled at queues q and bills behind a slow entry
    Then queue q gets found, and queue bills gets absent
    And it is cancelled at queue q

  # Operators rename and move queues while their workflows are open.
  Scenario Outline: a workflow is found after its queue was <change>
    Given a leader on a platform store and a VM that follows it
    And a workflow of queue q that is running
    When it is looked up at queue <name> of <url>
    Then the caller gets the outcome <outcome>
    And <count> workflows of this queue wait, of one that can't be placed

    Examples:
      | change     | name  | url     | outcome | count |
      | renamed    | desk  | h/      | found   | 1     |
      | moved      | q     | h/desk/ | found   | 1     |
      | replaced   | desk  | h/desk/ | absent  | 0     |

  # Records of earlier builds have no URL, and their messages no queue.
  Scenario Outline: <what> of an earlier build is understood
    Given a leader on a platform store and a VM that follows it
    And a workflow of queue q that was recorded without a URL
    When it is looked up at queue <name> of <url>
    Then the caller gets the outcome <outcome>

    Examples:
      | what      | name  | url      | outcome |
      | a record  | q     | h/       | found   |
      | a record  | bills | h/       | absent  |
      | a message | none  | nowhere  | found   |

  # The digits are a string: runners tell 0a and 0A apart.
  Scenario: identities that differ in case are different
    Given a leader on a platform store and a VM that follows it
    When workflows 000000000000000a and 000000000000000A are submitted
    Then each caller gets the outcome found
    And within 2 s the VM is ordered to start a task of each
    When the VM reports them as running
    And workflow 000000000000000A is cancelled
    Then workflow 000000000000000a is running
