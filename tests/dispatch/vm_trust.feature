Feature: The leader trusts VMs by what their tasks and reports show

  Scenario Outline: 6 VMs, one of which <history>
    Given a leader's fleet of 6 VMs that run a step of 12 tasks
    When one of the VMs <history>
    Then it is <rating>, and the others are trusted

    Examples: only what the VM itself causes counts
      | history                                        | rating   |
      | runs its tasks at a quarter of the speed       | doubtful |
      | runs them at a quarter of the speed, paced     | trusted  |
      | fails tasks of 2 workflows                     | doubtful |
      | fails tasks of workflows that fail on others   | trusted  |
      | starts again twice                             | doubtful |
      | starts again once                              | probed   |

  Scenario: doubt is logged and counted once, and so is its end
    Given a leader's fleet of 6 VMs that run a step of 12 tasks
    When one of the VMs fails tasks of 2 workflows
    Then reviews log one vm_doubted with its reasons, and count it
    When it finishes 9 tasks
    Then reviews log one vm_trusted_again

  Scenario: a leader that has just taken over trusts all VMs
    Given a leader's fleet of 6 VMs that run a step of 12 tasks
    When all agents report boots that the log does not know
    Then all VMs are trusted
