Feature: A VM allocates no more than its capacity and respects its lease

  Scenario Outline: an allocation beyond the free capacity is refused
    Given a VM of 4000 millicores, 8000 MB and 1 accelerators
    And 3000 millicores, 1000 MB and 1 accelerators are allocated to a
    When <millicores> millicores, <memory> MB and <accelerators> accelerators are requested for b
    Then the capacity request is <answer>

    Examples:
      | millicores | memory | accelerators | answer    |
      | 1000       | 7000   | 0            | allocated |
      | 1001       | 1      | 0            | refused   |
      | 1          | 7001   | 0            | refused   |
      | 1          | 1      | 1            | refused   |

  Scenario: releasing an allocation twice frees it once
    Given a VM of 4000 millicores, 8000 MB and 1 accelerators
    And 3000 millicores, 1000 MB and 1 accelerators are allocated to a
    When a is released twice
    Then 4000 millicores are free

  Scenario: an adopted allocation counts even if it exceeds the capacity
    Given a VM of 4000 millicores, 8000 MB and 1 accelerators
    When 5000 millicores are adopted for a
    And 1 millicores, 0 MB and 0 accelerators are requested for b
    Then the capacity request is refused

  Scenario Outline: a lease starts when its heartbeat was sent
    Given a VM lease of 10 s
    When it is extended at <now> s by a heartbeat sent at <sent> s
    And it is extended at <now> s by a heartbeat sent at <older> s
    Then the lease has <left> s left at <later> s

    Examples:
      | now | sent | older | later | left |
      | 103 | 100  | 99    | 105   | 5    |
      | 103 | 100  | 99    | 111   | 0    |
