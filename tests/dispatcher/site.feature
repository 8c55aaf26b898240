@rows
Feature: Workflows complete, in order and without double runs, under faults

  Scenario Outline: while <fault>
    Given a platform site under a steady load of jobs
    When this fault is injected into the platform site: <fault>
    Then every accepted job is completed within 20 s
    And no task ran twice, out of order or beyond the capacity of a worker
    And no refused job ran

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
