Feature: A site goes on after its store has lost commits that nobody holds

  Scenario: the owner dies and the store is restored with older content
    Given a running site
    When 8 tank-watch tasks run
    And the owner is killed and replaced by another
    And the owner dies and the store goes back to before they were submitted
    Then within 30 s another owner is followed by every agent
    And a job that is submitted then is done within 20 s
