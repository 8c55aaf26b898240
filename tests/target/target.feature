Feature: Targets announce themselves and get no more than they announced

  Scenario Outline: an invalid announcement is refused with a reason
    Given the announcement API of a VM with 4000 millicores
    When a target announces <change>
    Then the announcement is answered <status> with reason "<reason>"

    Examples:
      | change                             | status | reason                    |
      | itself                             | 200    | ok                        |
      | slots = "eight"                    | 400    | slots: must be int        |
      | slots = 0                          | 400    | must be positive          |
      | colour = "red"                     | 400    | unknown key: colour       |
      | reserve = {"millicores": 5000}     | 409    | exceeds the free capacity |
      | address = 5                        | 400    | address: must be str      |

  Scenario: a target gets no more requests than its slots and connections
    Given the announcement API of a VM with 4000 millicores
    When a target announces itself
    Then 8 slots can be acquired and no more

  Scenario: a leaving target gets no more requests
    Given the announcement API of a VM with 4000 millicores
    When a target announces itself
    And a target announces leaving = true
    Then 0 slots can be acquired and no more

  Scenario: a target that stops announcing is removed with its reserve
    Given the announcement API of a VM with 4000 millicores
    When a target announces reserve = {"millicores": 3000}
    Then within 5 s it is removed and 4000 millicores are free
