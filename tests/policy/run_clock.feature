Feature: How long nothing of a workflow has been known to run

  Scenario: time over attempts that never run adds up
    Given a clock of what runs, updated each 0.25 s
    When an attempt waits for its start for 1 s, 3 times, with no pause
    Then nothing has been known to run for 3 s

  # A workflow that has waited for a VM would be reported with its first order.
  Scenario: time without an assigned attempt does not count
    Given a clock of what runs, updated each 0.25 s
    When an attempt waits for its start for 1 s, 2 times, with a pause of 60 s
    Then nothing has been known to run for 2 s

  Scenario: an attempt that is younger than the update before counts its age
    Given a clock of what runs, updated each 0.25 s
    When an attempt is assigned 0.1 s before the next update
    Then nothing has been known to run for 0.1 s

  Scenario: an attempt that runs between two updates ends the time
    Given a clock of what runs, updated each 0.25 s
    When an attempt waits for its start for 1 s, 1 times, with no pause
    And it runs and ends before the next update, at which another one waits
    Then nothing has been known to run for 0 s

  # Reports that arrived in the meantime are read after that.
  Scenario: a suspension of the leader does not count as a standstill
    Given a clock of what runs, updated each 0.25 s
    When an attempt waits for its start for 0.25 s, 1 times, with no pause
    And the next update is 60 s late
    Then nothing has been known to run for 0.75 s

  Scenario: the time of workflows that have ended is dropped
    Given a clock of what runs, updated each 0.25 s
    When an attempt waits for its start for 1 s, 1 times, with no pause
    And the workflow on the clock ends
    Then no time is held
