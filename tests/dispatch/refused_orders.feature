Feature: VMs that refuse every order do not keep a workflow waiting

  Callers take a workflow for lost when nothing of it runs for 3 s while there
  is capacity.

  # Accepted workflows went to VMs without a worker until the end of the day.
  Scenario: a workflow that an idle VM refuses again and again runs elsewhere
    Given a leader on a platform store and a VM that follows it
    And a best-effort task takes all processors of vm1
    And vm2 follows, and refuses every order
    When a best-effort workflow of 1 task is submitted
    Then within 2.5 s vm1 is ordered to start it

  Scenario: nothing is placed on a VM whose agent reports a silent worker
    Given a leader on a platform store and a VM that follows it
    And a best-effort task takes all processors of vm1
    And vm2 follows, and reports that its worker is silent
    When a best-effort workflow of 1 task is submitted
    Then within 2.5 s vm1 is ordered to start it
    And vm2 has been ordered to start nothing
    When vm2 reports that its worker answers
    And another best-effort workflow is submitted
    Then within 1 s vm2 is ordered to start it
