Feature: A task or a gang starts as often as its limit of failures allows

  Background:
    Given a leader on a platform store and a VM that follows it

  # The job was shown as failed after its first attempt.
  Scenario: members that fail in one report leave the gang another attempt
    When a gang of 3 tasks with 2 attempts is submitted
    And within 2 s the VM is ordered to start 3 tasks
    And the VM reports that attempt 1 has failed for 2 members
    Then within 2 s the gang is ordered again, as attempt 2
    When the VM reports that attempt 2 has failed for 1 member
    Then within 2 s the workflow is reported as failed
    And the gang is not ordered as attempt 3

  # The end was acknowledged to the worker and counted nowhere, so that a third
  # attempt began.
  Scenario Outline: a failure that is reported once its VM is back counts
    When a <kind> with 2 attempts is submitted
    And within 2 s the VM is ordered to start <count> tasks
    And another VM follows, and the first one is lost
    Then within 3 s the other VM is ordered to start it, as attempt 2
    When the first VM follows again, and reports that attempt 1 has failed
    And the other VM reports that attempt 2 has failed
    Then within 2 s the workflow is reported as failed
    And it is not ordered as attempt 3
    And the ends of attempt 1 are acknowledged

    Examples:
      | kind            | count |
      | gang of 3 tasks | 3     |
      | task            | 1     |
