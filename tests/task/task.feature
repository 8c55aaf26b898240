Feature: States of a task

  Scenario Outline: the properties of each state
    Then a task that is <state> is on a VM: <on_vm>, and has ended: <ended>

    Examples:
      | state      | on_vm | ended |
      | queued     | no    | no    |
      | assigned   | yes   | no    |
      | cancelling | yes   | no    |
      | done       | no    | yes   |
      | failed     | no    | yes   |
      | cancelled  | no    | yes   |
      | lost       | no    | yes   |
