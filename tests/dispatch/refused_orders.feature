Feature: Orders that a VM refuses do not keep a workflow waiting

  Callers take a workflow for lost when nothing of it runs for 3 s while there
  is capacity.

  # Accepted workflows went to VMs without a worker until the end of the day.
  Scenario: a workflow that an idle VM refuses again and again runs elsewhere
    Given a leader on a platform store and a VM that follows it
    And a best-effort task takes all processors of vm1
    And vm2 follows, and refuses every order
    When a best-effort workflow of 1 task is submitted
    Then within 2.5 s vm1 is ordered to start it
