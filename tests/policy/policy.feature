Feature: Placement and routing policies

  Scenario: urgent tasks go first, then the organisation with the least usage
    Given queued tasks
      | task | organisation | urgent |
      | a1   | abay-reef    | no     |
      | a2   | abay-reef    | no     |
      | k1   | aarekreis    | no     |
      | k2   | aarekreis    | yes    |
    And abay-reef uses 1 of its 10 cores and aarekreis 0 of its 4
    Then the queue returns them in the order k2 a1 a2 k1

  Scenario: an organisation at its quota waits while others go on
    Given queued tasks
      | task | organisation | urgent |
      | a1   | abay-reef    | no     |
      | k1   | aarekreis    | no     |
    And abay-reef uses 10 of its 10 cores and aarekreis 0 of its 4
    Then the queue returns them in the order k1

  Scenario: a task goes to the VM with the most free capacity
    Given VMs with 2, 7 and 5 of 8 cores free
    Then spread placement chooses the second

  Scenario: the tasks of one job are spread over VMs
    Given VMs with 7, 7 and 7 of 8 cores free
    And 3 tasks of the job on the first and 1 on the third
    Then spread placement chooses the second

  Scenario: a VM on which distinct tasks fail is quarantined and probed
    Given a quarantine in which 3 distinct tasks failed at 100 s
    Then the VM takes 0 tasks at 105 s with 0 running
    And the VM takes 1 tasks at 111 s with 0 running
    And the VM takes 0 tasks at 111 s with 1 running
    When another task fails at 111 s
    Then the VM takes 0 tasks at 130 s with 0 running
    And the VM takes 1 tasks at 132 s with 0 running
    When a task succeeds
    Then the VM takes any tasks at 133 s with 5 running

  # A VM took no second task for as long as its probe ran.
  Scenario: a probe that neither fails nor succeeds ends the quarantine
    Given a quarantine in which 3 distinct tasks failed at 100 s
    Then the VM takes 0 tasks at 709 s with 1 running
    And the VM takes any tasks at 711 s with 1 running
    When another task fails at 720 s
    Then the VM takes 0 tasks at 739 s with 0 running

  Scenario: one task that fails repeatedly does not quarantine a VM
    Given a quarantine in which 1 distinct tasks failed at 100 s
    Then the VM takes any tasks at 105 s with 0 running

  Scenario: retries are limited to a share of requests
    Given a retry budget of 0.1 with at most 10
    When 1000 requests each want 1 retry
    Then 100 to 110 retries are allowed

  Scenario Outline: how many requests a slow target gets
    Given 4 targets of which one is 4 times slower
    When <policy> routes 4000 requests one at a time
    Then the slow target gets <min> to <max> of them

    Examples:
      | policy            | min  | max  |
      | power of two      | 0    | 40   |
      | round robin       | 1000 | 1000 |
      | random            | 900  | 1100 |
      | least outstanding | 0    | 4000 |
