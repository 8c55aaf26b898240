Feature: A workflow that was cancelled while unknown never runs

  # A front that had been suspended had a workflow accepted 4 s after its
  # caller was told that no such workflow exists; all of its tasks ran.
  Scenario: a submission that arrives after its cancellation is refused
    Given a leader on a platform store and a VM that follows it
    When an unknown workflow is cancelled
    Then its caller is told that it is absent
    When the workflow arrives after its cancellation
    Then it is refused, for good, and no task is started
    And one log line tells how long ago it was cancelled

  # The next leader did not know what its predecessor had promised.
  Scenario Outline: the next leader refuses it, too
    Given a leader on a platform store and a VM that follows it
    When an unknown workflow is cancelled
    And <event>
    And another leader follows
    And the workflow arrives after its cancellation
    Then it is refused, for good, and no task is started

    Examples:
      | event                  |
      | nothing else happens   |
      | a snapshot is made     |
      | two snapshots are made |

  # The submission overtook the entry with the cancellation.
  Scenario: a submission is refused while its cancellation is being recorded
    Given a leader on a platform store and a VM that follows it
    When the store is slow while an unknown workflow is cancelled
    And the workflow arrives after its cancellation
    Then it is refused, for good, and no task is started
    And its caller is told that it is absent

  # A promise that is not on record ends with its leader.
  Scenario: no caller is told that a workflow is absent before that is recorded
    Given a leader on a platform store and a VM that follows it
    When the store is silent while an unknown workflow is cancelled
    Then within 4 s its caller is told nothing certain

  # Each cancellation that a caller repeats would cost a write.
  Scenario: a repeated cancellation is answered without another entry
    Given a leader on a platform store and a VM that follows it
    When an unknown workflow is cancelled 20 times
    Then its caller is told that it is absent
    And the log has 1 entry

  # Anyone can cancel workflows that do not exist: memory has to be bounded,
  # and a cancellation beyond the bound must not be answered falsely.
  Scenario: a cancellation that can't be remembered is refused
    Given a leader on a platform store and a VM that follows it
    And as many tombstones as it may hold, the oldest 100 s old
    When an unknown workflow is cancelled
    Then its caller is told to return after 140 s
    When a known workflow is cancelled
    Then its caller is told that it is cancelled

  Scenario: old tombstones make room for new ones
    Given a leader on a platform store and a VM that follows it
    And as many tombstones as it may hold, the oldest 300 s old
    When an unknown workflow is cancelled
    Then its caller is told that it is absent

  # A build without tombstones may lead after one that has them.
  Scenario: a snapshot with tombstones is readable without them
    Given a log entry with a tombstone and a workflow of the same identity
    When its snapshot is read as records of workflows
    Then the workflow is the last record of its identity
    And the tombstone is a cancelled workflow without steps
