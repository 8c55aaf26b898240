Feature: A site recovers after its store has lost commits for good

  Scenario: the owner dies and the store is restored from an older backup
    Given a running site
    When 8 tank-watch tasks run
    And the owner is killed and replaced by another
    And the owner dies and the store is rolled back to before their submission
    Then within 30 s every agent follows another owner
    And a job that is submitted afterwards is done within 20 s
