Feature: A dispatcher that does not lead sends VMs on to the one that does

  Scenario Outline: <who> introduces itself to a dispatcher that does not lead
    Given a dispatcher that led until epoch 4, and knows a leader at <leader>
    When a VM that has followed epoch <epoch> introduces itself
    Then it is <answer>

    Examples:
      | who               | leader   | epoch | answer                       |
      | a new VM          | 10.0.0.9 | 0     | sent on to 10.0.0.9          |
      | a VM of another   | 10.0.0.9 | 3     | sent on to 10.0.0.9          |
      | a VM              | nowhere  | 3     | sent on to nowhere           |
      | a VM              | itself   | 3     | sent on to nowhere           |
      | one of its own    | 10.0.0.9 | 4     | refused: no longer the leader |

  Scenario: a report to a dispatcher that does not lead is refused
    Given a dispatcher that led until epoch 4, and knows a leader at 10.0.0.9
    When a VM reports to it
    Then it is refused: not the leader
