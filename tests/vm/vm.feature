Feature: A VM gives away no more than it holds, and runs no longer than its lease

  Scenario Outline: the ledger refuses what does not fit
    Given a VM of 4000 millicores, 8000 MB and 1 accelerators
    And 3000 millicores, 1000 MB and 1 accelerators are given to a
    When <millicores> millicores, <memory> MB and <accelerators> accelerators are asked for b
    Then it is <answer>

    Examples:
      | millicores | memory | accelerators | answer  |
      | 1000       | 7000   | 0            | given   |
      | 1001       | 1      | 0            | refused |
      | 1          | 7001   | 0            | refused |
      | 1          | 1      | 1            | refused |

  Scenario: room that is given back can be given again, once
    Given a VM of 4000 millicores, 8000 MB and 1 accelerators
    And 3000 millicores, 1000 MB and 1 accelerators are given to a
    When a gives it back twice
    Then 4000 millicores are free

  Scenario: what already runs is counted even where it is too much
    Given a VM of 4000 millicores, 8000 MB and 1 accelerators
    When 5000 millicores are adopted for a
    And 1 millicores, 0 MB and 0 accelerators are asked for b
    Then it is refused

  Scenario Outline: a lease counts from the heartbeat's sending
    Given a VM lease of 10 s
    When it is extended at <now> by a heartbeat sent at <sent>
    And it is extended at <now> by a heartbeat sent at <older>
    Then <left> s are left at <later>

    Examples:
      | now | sent | older | later | left |
      | 103 | 100  | 99    | 105   | 5    |
      | 103 | 100  | 99    | 111   | 0    |
