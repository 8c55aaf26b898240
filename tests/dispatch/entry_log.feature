Feature: The log of workflows commits and fences in one

  Scenario: a leader recovers what another one recorded
    Given a log that A leads with 3 workflows
    When B claims the log
    Then B has 3 workflows and epoch 2
    And the log fences A when it appends
    And the log fences A when it confirms

  Scenario: two that claim a vacant log at once do not both lead
    Given a log that nobody leads
    When A and B claim it at once
    Then exactly one of them leads

  Scenario: a claim on an older view of the leader's key is refused
    Given a log that A leads with 0 workflows
    When B claims it as if the leader's key were absent
    Then the claim of B is refused

  Scenario: a lost answer is resolved by reading back
    Given a log that A leads with 1 workflow
    When the log's answer to A is lost as it appends
    Then A's append succeeds and stands in the log once

  Scenario: a write that is carried out late meets no later leader
    Given a log that A leads with 1 workflow
    When A's next append is carried out only after B has claimed the log
    Then the log fences A when it appends
    And B's board lacks that workflow, now and when it is read again

  Scenario: a snapshot replaces the entries, and a paused leader stays fenced
    Given a log that A leads with 5 workflows
    When B claims the log
    And B takes a snapshot
    Then the store holds no entry of the log
    And the log fences A when it appends
    And C recovers 5 workflows

  Scenario: a leader that resigns leaves no key
    Given a log that A leads with 0 workflows
    When A resigns as the leader
    Then the leader's key is absent
    And B inherits the leases of A when it claims the log
    And C inherits no leases when it claims the log after that
