@rows
Feature: Workflows run once, in order and whole, whatever fails

  Scenario Outline: while <fault>
    Given a platform site that takes jobs all the time
    When this happens to the platform site: <fault>
    Then every job that was accepted is completed within 20 s
    And no task ran twice, too early, or on a full runner
    And nothing ran that was refused

    Examples:
      | fault                                 |
      | nothing                               |
      | the leader is killed                  |
      | the leader is stopped                 |
      | the leader is frozen                  |
      | the leader is cut from the store      |
      | an agent is killed                    |
      | an agent is frozen past its lease     |
      | everything is killed                  |
      | everything is killed, twice           |
      | the store is busy                     |
      | the store is silent                   |
      | the store loses answers               |
      | the store writes late                 |
      | the store is slow                     |
      | the store forgets its history         |
      | the store revokes leases              |
      | open connections go silent            |
      | workers carry orders out late         |
      | workers start again                   |
      | a worker is silent past its deadline  |
      | all is killed while the store is down |
