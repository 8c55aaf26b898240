Feature: The health of VMs does not keep tasks from all of them

  Lasting tasks have to run whenever there is capacity for them. A VM is
  barred while tasks of several workflows are stuck on it, however long that
  takes, and after failures until a probe succeeds or none fails for some time.

  Scenario Outline: lasting tasks do not wait while all VMs are <state>
    Given a fleet of 4 VMs of which 4 are <state>
    When a lasting workflow of 4 tasks is planned
    Then all 4 tasks are placed

    Examples:
      | state       |
      | stuck       |
      | quarantined |

  Scenario Outline: tasks stay away from VMs that are <state>, unlike others
    Given a fleet of <vms> VMs of which <bad> are <state>
    When a lasting workflow of 4 tasks is planned
    Then <placed> tasks are placed, none of them on VMs that are <state>

    Examples:
      | vms | bad | state       | placed |
      | 4   | 2   | stuck       | 4      |
      | 4   | 2   | quarantined | 4      |
      | 1   | 1   | stuck       | 0      |
      | 1   | 1   | quarantined | 0      |
      | 5   | 3   | stuck       | 4      |
      | 5   | 3   | quarantined | 4      |

  Scenario: a wait for a better VM than a stuck one ends if there is none
    Given a fleet of 1 VMs of which 1 are stuck
    When a lasting workflow of 4 tasks has waited for 1.5 s
    Then all 4 tasks are placed

  Scenario: a wait for a better VM than a stuck one ends if none is suitable
    Given a fleet of 3 VMs of which 1 are stuck
    When a lasting workflow of 4 tasks that need a stuck VM has waited for 1.5 s
    Then all 4 tasks are placed

  Scenario: a full pool does not send waiting tasks to stuck VMs
    Given a fleet of 3 VMs of which 1 are stuck
    And its sound VMs are full
    When a lasting workflow of 4 tasks has waited for 1.5 s
    Then 0 tasks are placed, none of them on VMs that are stuck
    And 1 VM is reported to refuse them as stuck and 2 for their processors

  # Workflows waited for as long as two tasks made no progress on each of these
  # VMs, with most of the capacity free.
  Scenario Outline: a few full VMs do not keep waiting tasks from many stuck ones
    Given a fleet of 4 VMs of which <bad> are stuck
    And its sound VMs are full
    When a lasting workflow of 4 tasks has waited for 1.5 s
    Then all 4 tasks are placed

    Examples:
      | bad |
      | 2   |
      | 3   |

  Scenario: sound VMs go before many stuck ones
    Given a fleet of 4 VMs of which 3 are stuck
    When a lasting workflow of 4 tasks is planned after a wait of 1.5 s
    Then 4 tasks are placed, none of them on VMs that are stuck

  # The VM took no other task until that one had succeeded.
  Scenario: a probe that lasts does not keep waiting tasks from its VM
    Given a fleet of 3 VMs of which 1 are quarantined
    And its sound VMs are full
    And the quarantine is over, and a task runs as a probe
    When a lasting workflow of 4 tasks has waited for 1.5 s
    Then 3 tasks are placed, none of them on VMs that are sound

  Scenario: a quarantine keeps waiting tasks from its VM
    Given a fleet of 3 VMs of which 1 are quarantined
    And its sound VMs are full
    When a lasting workflow of 4 tasks has waited for 1.5 s
    Then 0 tasks are placed, none of them on VMs that are quarantined
