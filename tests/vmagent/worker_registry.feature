Feature: An agent learns from a worker itself which boot of it runs

  # Running tasks were started again elsewhere: a ping of another writer named
  # the address of their worker and was taken for a new boot.
  Scenario Outline: a ping of another writer with <oddity> changes nothing
    Given an agent process whose worker runs a task, and its leader
    When the agent gets a ping of another writer with <oddity>
    Then for 3 s the same boot, pool and attempt are reported
    When the worker reports that it drains
    Then within 2 s the leader knows that it drains

    Examples:
      | oddity                                    |
      | another id and a later start              |
      | the worker's id and a later start         |
      | the worker's id and an earlier start      |
      | the worker's id and start in another pool |
      | the worker's id and start, far ahead      |

  Scenario Outline: a worker that starts again is followed although <what>
    Given an agent process whose worker runs a task, and its leader
    When the worker starts again and <what>
    Then within 2 s the leader knows its new boot, and that the task has ended

    Examples:
      | what                       |
      | its clock is set back 60 s |
      | has another id             |

  Scenario: a worker that refuses its first call is followed
    Given an agent process, its leader, and a worker that has not reported
    When the worker refuses one call, and reports
    Then within 2 s the leader knows its boot

  # Other writers' addresses took the places of a machine's own workers.
  Scenario: pings of other writers take no place of a worker
    Given an agent process, its leader, and a worker that has not reported
    When the agent gets pings of 40 other writers with addresses of their own
    And the worker reports
    Then within 2 s the leader knows its boot

  # An odd report that came first made an agent ignore its own worker for good.
  Scenario: a worker is followed although an odd report came before its first
    Given an agent process, its leader, and a worker that has not reported
    When another writer reports it in another pool, and then it reports 3 times
    Then within 2 s the leader knows its pool

  # A deregistration of another writer ended running tasks at the first poll
  # without an answer, and kept new ones from the worker for good.
  Scenario: a worker that another writer deregisters runs on
    Given an agent process whose worker runs a task, and its leader
    When another writer deregisters it, and it does not answer
    Then for 3 s the same boot, pool and attempt are reported
    When the worker answers again and reports
    Then within 2 s the leader knows that it does not drain

  # One ping kept tasks from a sound worker until it started again, as all of
  # its own reports had smaller numbers.
  Scenario Outline: a report numbered far ahead that it <claim> is outvoted
    Given an agent process whose worker runs a task, and its leader
    When another writer reports, numbered far ahead, that it <claim>
    Then within 2 s the leader is told that it <claim>
    When the worker reports <count> times
    Then within 2 s the leader is no longer told that it <claim>

    Examples:
      | claim       | count |
      | drains      | 6     |
      | has no room | 3     |

  Scenario: late copies of reports do not undo a drain
    Given an agent process whose worker runs a task, and its leader
    When the worker reports 6 times, and then that it drains
    And 5 copies of its earlier reports arrive late, in order
    Then for 2 s the leader is told that it drains

  # A worker that seemed to be gone once was not used again until it started
  # again.
  Scenario Outline: the same boot is used again after <fault>
    Given an agent process whose worker runs a task, and its leader
    When <fault>
    Then within 3 s the leader is told that the task has ended
    When the same boot is there again and reports
    Then within 2 s the leader is no longer told that it drains
    And within 2 s the run of the ended attempt is stopped
    And within 2 s a task that the leader orders runs on it

    Examples:
      | fault                                                              |
      | another writer deregisters it, and its address refuses connections |
      | another worker answers at its address                              |
