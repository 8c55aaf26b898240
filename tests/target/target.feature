Feature: Targets announce themselves and get no more than they said

  Scenario Outline: a wrong announcement is refused with each finding
    Given an agent's announcements for a VM of 4000 millicores
    When a target announces <change>
    Then the announcement is answered <status> telling "<reason>"

    Examples:
      | change                             | status | reason                    |
      | itself                             | 200    | ok                        |
      | slots = "eight"                    | 400    | slots: must be int        |
      | slots = 0                          | 400    | must be positive          |
      | colour = "red"                     | 400    | unknown key: colour       |
      | reserve = {"millicores": 5000}     | 409    | no room                   |
      | address = 5                        | 400    | address: must be str      |

  Scenario: a target gets no more than its slots and connections
    Given an agent's announcements for a VM of 4000 millicores
    When a target announces itself
    Then 8 requests find it and the next one does not

  Scenario: a leaving target gets nothing at once
    Given an agent's announcements for a VM of 4000 millicores
    When a target announces itself
    And a target announces leaving = true
    Then 0 requests find it and the next one does not

  Scenario: a target that falls silent is gone within 5 s, with its reserve
    Given an agent's announcements for a VM of 4000 millicores
    When a target announces reserve = {"millicores": 3000}
    Then within 5 s it is gone and 4000 millicores are free again
