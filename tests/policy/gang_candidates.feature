Feature: A gang is placed where none of its members has failed

  # The second of two attempts began on the VM that had failed the first one
  # 10 ms before, beside VMs with room.
  Scenario Outline: the next attempt of a gang avoids the VMs that failed it
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 4     | 9000    | z0   | k,r1   |
      | c  | 4     | 9000    | z0   | k,r2   |
    When a gang of <count> tasks of 2 cores is planned again, after it failed on a and was interrupted on b
    Then <placed>

    Examples: where the others have no room for all, the VM is used again
      | count | placed                             |
      | 4     | 2 tasks go to b and 2 tasks go to c |
      | 6     | 6 tasks are placed on a, b and c    |

  Scenario: a gang that prefers one rack leaves it rather than the others
    Given VMs
      | vm | cores | free_mb | zone | labels |
      | a  | 4     | 9000    | z0   | k,r1   |
      | b  | 4     | 9000    | z0   | k,r1   |
      | c  | 4     | 9000    | z0   | k,r2   |
    When a gang of 3 tasks of 2 cores on one rack is planned again, after it failed on a and was interrupted on b
    Then none goes to a
