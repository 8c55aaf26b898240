Feature: What a leader holds of tasks does not outlive them

  Scenario: a session forgets orders that every later report covers
    Given a session whose agent accepted 1000 orders at 5000 ms
    When a report is made at 4999 ms
    Then it holds 1000 orders, and that report may lack them
    When a report is made at 5001 ms
    Then it holds 0 orders, and that report may not lack them

  Scenario: failures of ended workflows are forgotten
    Given a tracker of VMs with failures of 20 workflows
    When all but 3 of them end
    Then it holds failures of 3 workflows

  # A VM was doubtful after one failure of a gang with two members on it.
  Scenario Outline: members of a gang that fail at once are one failure of a VM
    Given a tracker of VMs with full trust in them
    When <failed> have failed on vm1
    Then the trust in vm1 is that after <failures> failures

    Examples:
      | failed                                     | failures |
      | 3 members of a gang in one attempt         | 1        |
      | 3 members of a gang in 3 attempts          | 3        |
      | 3 tasks of a step that is no gang          | 3        |
