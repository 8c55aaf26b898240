Feature: A shard commits changes in batches, each atomically

  Scenario: many changes are committed in few segments
    Given the owner of an empty shard
    When 200 jobs are submitted at once
    Then all are recorded in at most 2 segments

  Scenario: of two conflicting changes of a task, one is recorded
    Given the owner of an empty shard
    When job j of 1 tasks is submitted
    And task j/0 is assigned to a and to b at once
    Then one assignment is recorded

  Scenario: a job that is submitted twice at once is recorded once
    Given the owner of an empty shard
    When job j of 2 tasks is submitted twice at once
    Then one submission is recorded and there are 2 tasks

  Scenario: a pending submission fails when the shard gets another owner
    Given the owner of an empty shard
    When another process opens its journal
    And job j of 1 tasks is submitted
    Then the submission ends with Fenced

  Scenario: a snapshot holds the whole state in chunks below a megabyte
    Given a state of 4000 jobs, one of them ended 8 days ago
    When it is dumped and loaded
    Then the loaded state is the same, in more than one chunk

  Scenario: jobs past their retention are pruned
    Given a state of 4000 jobs, one of them ended 8 days ago
    When it is pruned
    Then 3999 jobs remain

  Scenario: removing a peer reassigns only the names that preferred it
    Then of 1000 names only those that preferred peer 3 of 6 are reassigned without it
