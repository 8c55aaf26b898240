Feature: An odd entry of another writer ends no process and misleads none

  Scenario Outline: <oddity> among the entries of the dispatchers
    Given a platform site under a steady load of jobs
    When another writer leaves an entry with <oddity> among the dispatchers
    And this fault is injected into the platform site: the leader is killed
    Then every accepted job is completed within 20 s
    And no process has ended by itself
    And the agents and the dispatchers have each logged the entry at most 5 times

    Examples:
      | oddity                   |
      | 200000 nested levels     |
      | a strength of 10^30      |
      | port 99999               |
      | port 0                   |
      | a list instead           |
      | bytes that are no text   |

  Scenario: odd pings and answers of runners
    Given a platform site under a steady load of jobs
    When every agent gets odd pings of 500 workers
    Then every accepted job is completed within 20 s
    And no process has ended by itself
