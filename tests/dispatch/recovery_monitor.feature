Feature: A leader logs once how long a site took to come back

  Without the seconds of each stage nobody can tell after a loss of power
  whether processes, the log, the VMs or the placement took the time.

  Scenario: each stage is logged when standing tasks are back
    Given a log that assigns 2 standing tasks and 1 other to 2 VMs
    When the leader claims it, 0.2 s after the process listened
    And 0.5 s later VM v0 is followed with a new boot, and its tasks are assigned again
    Then nothing has been logged
    When 0.5 s later VM v1 is followed with a new boot, and its tasks are assigned again
    Then one line is logged: vms=2 vms_missing=0 standing=2 standing_waiting=0 process_age_s=0.200 log_read_s=0.000 vms_followed_s=1.000 first_start_s=0.500 standing_assigned_s=1.000
    And 10 s later nothing more is logged

  Scenario: a VM that stays away does not keep the line back
    Given a log that assigns 2 standing tasks and 1 other to 2 VMs
    When the leader claims it, 0.2 s after the process listened
    And 0.5 s later VM v0 is followed with a new boot, and its tasks are assigned again
    And 29.5 s later nothing has changed
    Then one line is logged: vms=2 vms_missing=1 standing=2 standing_waiting=1 process_age_s=0.200 log_read_s=0.000 vms_followed_s=none first_start_s=0.500 standing_assigned_s=none
