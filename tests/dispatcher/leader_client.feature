Feature: A dispatcher asks the leader, and says only what it knows

  Scenario: without a leader a submission is refused soon, with advice
    Given a dispatcher that knows no leader
    When a workflow is handed to it
    Then it is refused within 1.0 s, to come back after 1 or 2 s

  Scenario: a leader that appears in time is asked
    Given a dispatcher that knows no leader
    When a leader appears after 0.3 s and a workflow is handed in
    Then it is found

  Scenario: a leader that goes before it answers leaves the answer uncertain
    Given a dispatcher whose leader closes each connection
    When a workflow is handed to it for 1 s
    Then it is uncertain in the end

  Scenario: a caller in doubt keeps most of its time for another try
    Given a dispatcher whose leader closes each connection
    When a workflow is handed to it
    Then it is uncertain within 1.5 s, to come back after 1 or 2 s

  Scenario: once nobody answers, nobody is kept waiting
    Given a dispatcher that knows no leader
    When a workflow is handed to it
    And 0.2 s later another is handed to it
    Then it is refused within 0.3 s, to come back after 1 or 2 s

  Scenario: an uncertain answer is asked for again, at the next leader
    Given a dispatcher whose leader closes the first connection
    When a workflow is handed to it
    Then it is found, after 2 questions about one workflow

  Scenario: a leader that has lost the store is not waited for long
    Given a dispatcher whose leader asks to go elsewhere
    When a workflow is handed to it
    Then it is refused within 1.0 s, to come back after 1 or 2 s

  Scenario: without an advisor a queue that wants advice is refused at once
    Given a dispatcher whose leader answers
    When a workflow of a queue with an advisor is handed to it
    Then it is refused within 1 s, and the leader was not asked
