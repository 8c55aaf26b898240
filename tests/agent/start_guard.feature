Feature: A start takes effect only while its preconditions hold

  Scenario Outline: a start is validated against the agent's own state
    Given an agent with a VM lease of <lease> s, owner epoch 5 and revision 7
    And its zone is <zone>
    When at 10000 ms a start arrives for <incarnation> with clock echo <echo> ms, epoch <epoch> and revision <revision>
    Then the start is <answer>

    Examples:
      | lease | zone | incarnation | echo | epoch | revision | answer                                    |
      | 6     | in   | me          | 9000 | 5     | 7        | accepted                                  |
      | 6     | in   | me          | 8000 | 5     | 7        | accepted                                  |
      | 6     | in   | me          | 7999 | 5     | 7        | refused: came too late                    |
      | 6     | in   | another     | 9000 | 5     | 7        | refused: meant for another agent process  |
      | 6     | in   | me          | 9000 | 4     | 7        | refused: the shard has a newer owner      |
      | 6     | in   | me          | 9000 | 6     | 7        | accepted                                  |
      | 6     | in   | me          | 9000 | 5     | 6        | refused: configuration 7 is in force here |
      | 6     | in   | me          | 9000 | 5     | 8        | accepted                                  |
      | 6     | out  | me          | 9000 | 5     | 7        | refused: zone is out of service           |
      | 0.5   | in   | me          | 9000 | 5     | 7        | refused: the VM lease is about to lapse   |

  Scenario: an older directory brings no zone back
    Given an agent with a VM lease of 6 s, owner epoch 5 and revision 7
    And its zone is out
    When a directory of revision 6 arrives in which no zone is out
    Then its zone is still out
