Feature: A dispatcher forwards calls to the leader and reports what is known

  Scenario: without a leader a submission is refused soon
    Given a dispatcher that knows no leader
    When a workflow is submitted to it
    Then it is refused within 1.0 s, with a retry after 1 or 2 s

  Scenario: a leader that appears in time is called
    Given a dispatcher that knows no leader
    When a leader appears after 0.3 s and a workflow is submitted
    Then it is found

  Scenario: a connection that is lost before the answer leaves the outcome uncertain
    Given a dispatcher whose leader closes each connection
    When a workflow is submitted to it with a timeout of 1 s
    Then its outcome is uncertain

  Scenario: an uncertain outcome is reported early enough for the caller to retry
    Given a dispatcher whose leader closes each connection
    When a workflow is submitted to it
    Then it is uncertain within 1.5 s, with a retry after 1 or 2 s

  Scenario: during a known outage callers are refused sooner
    Given a dispatcher that knows no leader
    When a workflow is submitted to it
    And another is submitted to it 0.2 s later
    Then it is refused within 0.3 s, with a retry after 1 or 2 s

  Scenario: an unanswered call is retried
    Given a dispatcher whose leader closes the first connection
    When a workflow is submitted to it
    Then it is found, after 2 calls for the same workflow

  Scenario: a leader that refuses because it has lost the store is given up soon
    Given a dispatcher whose leader has lost the store
    When a workflow is submitted to it
    Then it is refused within 1.0 s, with a retry after 1 or 2 s

  Scenario: while the leader is silent callers are refused, not left in doubt
    Given a dispatcher whose leader does not answer for 4 s
    When 50 workflows are submitted to it over 3 s with a timeout of 3 s
    Then at most 14 of them are uncertain, and the others are refused within 0.8 s
    And no refused workflow has reached the leader
    When the leader answers again and a workflow is submitted
    Then it is found

  Scenario: without an advisor a queue that requires one is refused at once
    Given a dispatcher whose leader answers
    When a workflow of a queue with an advisor is submitted to it
    Then it is refused within 1 s, and the leader is not called

  # A submission that was tried for an hour could arrive after its cancellation
  # was forgotten, which is kept for 240 s.
  Scenario: a submission is not tried for as long as cancellations are kept
    Given a dispatcher whose leader answers
    When a workflow is submitted by a caller that waits for 3600 s
    Then it is not tried for longer than 60 s
