Feature: Operators see which workflows stand still, and on which VMs

  Accepted workflows stood still although there was room, with assigned
  attempts that did not run, and no event named them or their VMs.

  Scenario Outline: a workflow whose attempt does not run
    Given a workflow with an attempt on v1
    When for <length_s> s <state>
    Then <lines> stalls are reported, with states=<reported>

    Examples:
      | length_s | state                                     | lines | reported    |
      | 3        | v1 lists the attempt as unconfirmed       | 1     | unconfirmed |
      | 3        | v1 lists no attempt                       | 1     | unordered   |
      | 3        | v1 is silent                              | 1     | silent      |
      | 3        | v1 does not follow                        | 1     | unreachable |
      | 3        | v1 lists an earlier attempt               | 1     | unordered   |
      | 2        | v1 lists the attempt as unconfirmed       | 0     | none        |
      | 3        | v1 lists the attempt as confirmed         | 0     | none        |
      # An agent of an earlier version.
      | 3        | v1 lists the attempt without saying it    | 0     | none        |

  Scenario Outline: an attempt that has run does not run any more
    Given a workflow with an attempt on v1
    When for 1 s v1 lists the attempt as confirmed
    And for 3 s <state>
    Then <lines> stalls are reported, with states=<reported>

    Examples:
      | state                               | lines | reported    |
      | v1 is silent                        | 1     | silent      |
      # Its worker has started again, and may execute a late start.
      | v1 lists the attempt as unconfirmed | 1     | unconfirmed |
      # A new agent does not know the attempt yet; its loss is reported.
      | v1 lists no attempt                 | 0     | none        |

  Scenario: a line names up to 3 attempts with VM and age, the oldest first
    Given a workflow with an attempt on v1
    When 2 more tasks of it are assigned to v2
    And 1 times, v1 lists the attempt as unconfirmed for 1 s and ends it as not_run
    And for 1 s v1 lists the attempt as unconfirmed
    And 2 more tasks of it are assigned to v2
    And for 0.5 s v1 lists the attempt as unconfirmed
    Then a stall of attempts=5 names v2, v2 and v1 with their ages

  Scenario: one running attempt is enough, but for a standing workflow
    Given a workflow with an attempt on v1
    And a standing workflow with attempts on v1 and v2
    When v1 lists all its attempts and v2 lists none for 3 s
    Then only the standing workflow is reported, with the attempt on v2

  Scenario: attempts that are refused again and again are one stall
    Given a workflow with an attempt on v1
    When 3 times, v1 lists the attempt as unconfirmed for 1 s and ends it as not_run
    Then 1 stalls are reported, with states=unconfirmed

  # Reports come once a second, and attempts may be shorter.
  Scenario: short attempts that no report lists are no stall
    Given a workflow with an attempt on v1
    When 4 times, v1 lists no attempt for 1 s and ends it as failed
    Then 0 stalls are reported, with states=none

  Scenario: a line is followed by one when the workflow runs again
    Given a workflow with an attempt on v1
    When for 3 s v1 lists the attempt as unconfirmed
    And for 1 s v1 lists the attempt as confirmed
    Then one line says that it has resumed after 3000 ms
    And workflows_stalled is 1

  Scenario: a stalled workflow that is cancelled does not resume
    Given a workflow with an attempt on v1
    When for 3 s v1 lists the attempt as unconfirmed
    And the stalled workflow is cancelled
    And for 6 s v1 lists the attempt as unconfirmed
    Then 1 stalls are reported, with states=unconfirmed
    And no line says that it has resumed
    And workflows_stalled is 1

  Scenario: the loss of many VMs leaves a few lines
    Given 50 workflows with an attempt on v1 each
    When for 8.5 s v1 is silent
    Then 6 stalls of 50 are reported
    And workflows_stalled is 50
    When for 1 s v1 lists the attempts as confirmed
    Then 3 lines say that a workflow has resumed

  Scenario: what attempts leave behind that have ended is dropped
    Given a workflow with an attempt on v1
    When 3 times, v1 lists the attempt as confirmed for 1 s and ends it as failed
    And for 1 s v1 lists the attempt as unconfirmed
    And the stalled workflow is cancelled
    And for 1 s v1 lists no attempt
    Then the monitor holds nothing

  Scenario: a leader reports a workflow from the reports of its agents
    Given a leader on a platform store and a VM that follows it
    When a workflow of 2 tasks is submitted
    And vm1 reports its orders as unconfirmed for 4 s
    Then the leader has logged workflow_stalled with states=unconfirmed,unconfirmed
    When vm1 reports its orders as confirmed for 2 s
    Then the leader has logged workflow_resumed with workflow=0123456789abcdef

  # The planner took assigned attempts for running ones.
  Scenario: a leader tells its planner which workflows wait for which VMs
    Given a leader on a platform store and a VM that follows it
    When a workflow of 2 tasks is submitted
    Then the planner learns within 3 s that it has waited 1.5 s for vm1
