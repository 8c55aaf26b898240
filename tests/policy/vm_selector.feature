Feature: The cost of placing a task does not grow with the fleet

  A step of 39 best-effort tasks of one image is placed on VMs that all have
  serving tasks. VMs are ranked once for a step.

  Scenario Outline: the tasks of a <kind> image on <vms> VMs
    Given <vms> VMs with serving tasks and a <kind> image
    When a step of 39 best-effort tasks of it is placed
    Then <placed> of them are placed
    And a VM was examined at most <vms> times, and 4 times more for each placed task

    Examples:
      | vms | kind  | placed |
      | 11  | heavy | 11     |
      | 160 | heavy | 39     |
      | 640 | heavy | 39     |
      | 11  | new   | 1      |
      | 160 | new   | 10     |
      | 640 | new   | 39     |
      | 160 | light | 39     |
      | 640 | light | 39     |
