Feature: Slowed tasks move only where they end sooner

  VM a has serving tasks that spare headroom for one of its best-effort tasks,
  and VM b is free. The task in front has 0 as its rank.

  Scenario Outline: a task <kind>
    Given a task in front of it on a that has <front_s> s left
    And a task of rank <rank> on a that has <left_s> s left there and <there_s> s elsewhere, at a pace of <pace>, for <age_s> s
    When moves are chosen in <rounds> rounds
    Then it <result>

    Examples: a move takes 1.5 s and has to gain another one
      | kind                            | front_s | rank | left_s | there_s | pace | age_s | rounds | result |
      | that waits for long             | 8       | 1    | 4      | 4       | 0    | 3     | 2      | moves  |
      | that gets its turn soon         | 1       | 1    | 4      | 4       | 0    | 3     | 2      | stays  |
      | that others wait for            | 8       | -1   | 4      | 4       | 0    | 3     | 2      | stays  |
      | that is slow for no known cause | 8       | -1   | 4      | 4       | 0.1  | 3     | 4      | moves  |
      | that was slow once              | 8       | 1    | 4      | 4       | 0    | 3     | 1      | stays  |
      | that has just started           | 8       | 1    | 4      | 4       | 0    | 1.9   | 2      | stays  |
      | that runs at full pace          | 0.1     | 1    | 4      | 4       | 1    | 3     | 2      | stays  |
      | on a worker slower than others  | 0.1     | 1    | 9      | 4       | 1    | 3     | 2      | moves  |
      | on one that is not much slower  | 0.1     | 1    | 6      | 4       | 1    | 3     | 2      | stays  |

  Scenario Outline: a task without checkpoints moves only if a restart ends sooner
    Given a task in front of it on a that has 8 s left
    And its step has no checkpoints
    And a task of rank 1 on a that has <left_s> s left there and <there_s> s elsewhere, at a pace of 0, for 3 s
    When moves are chosen in 2 rounds
    Then it <result>

    Examples: the run time of a restart may differ by 0.15
      | left_s | there_s | result |
      | 4      | 5       | moves  |
      | 1      | 5       | moves  |
      | 1      | 7       | stays  |

  Scenario: a task that stays slow is moved three times at most
    Given a task in front of it on a that has 8 s left
    And a task of rank 1 on a that has 4 s left there and 4 s elsewhere, at a pace of 0, for 3 s
    When moves are chosen in 12 rounds, and it starts again after each
    Then it has moved 3 times

  Scenario: an attempt whose stop takes long is stopped once
    Given a task in front of it on a that has 8 s left
    And a task of rank 1 on a that has 4 s left there and 4 s elsewhere, at a pace of 0, for 3 s
    When moves are chosen in 12 rounds
    Then it has moved 1 times

  Scenario Outline: run times come from the progress of siblings
    Given tasks of one step that report their work at full pace <how>
      | task | percent_per_s | pace |
      | x    | 20            | 1    |
      | y    | 10            | 0.5  |
      | z    | 5             | 1    |
    When they have been reported each second for 4 s
    Then a task of the step runs for 5 s, and z for 20 s

    Examples: agents of before this field report 0
      | how     |
      | exactly |
      | as 0    |

  Scenario Outline: work before the first report does not count as slowness
    Given tasks of one step that report their work at full pace exactly
      | task | percent_per_s | pace |
      | x    | 20            | 1    |
      | y    | 10            | 0.5  |
      | z    | 5             | 1    |
    When they are reported from <first> to 5 s, but not at <gap> s, by agents that count anew at <anew> s
    Then a task of the step runs for 5 s, and z for 20 s

    Examples: a new leader, a VM that is missing once, a new agent
      | first | gap | anew |
      | 2     | 9   | 0    |
      | 0     | 2   | 0    |
      | 0     | 9   | 2    |

  Scenario Outline: a last task moves in front of tasks behind it in precedence
    Given a task in front of it on a that has 8 s left
    And <count> tasks of rank <other> take all the headroom of b
    And a task of rank 1 on a that has 4 s left there and 4 s elsewhere, at a pace of 0, for 3 s
    And it is one of <left> tasks of its step that are left
    When moves are chosen in 2 rounds
    Then it <result>

    Examples: no VM lacks the headroom of more than one task
      | other | count | left | result |
      | 5     | 1     | 2    | moves  |
      | 5     | 2     | 2    | stays  |
      | 0     | 1     | 2    | stays  |
      | 5     | 1     | 9    | stays  |

  Scenario Outline: a last task is placed in front of tasks behind it in precedence
    Given a VM whose headroom <count> tasks of rank <other> take
    When the last <left> of 9 tasks of a step of rank <rank> are placed
    Then <placed> tasks are placed on it

    Examples: there is headroom for one task, and half of another one
      | other | count | left | rank | placed |
      | 5     | 1     | 2    | 1    | 1      |
      | 5     | 2     | 2    | 1    | 0      |
      | 0     | 1     | 2    | 1    | 0      |
      | 5     | 1     | 2    | none | 0      |
      | 5     | 1     | 9    | 1    | 0      |

  Scenario Outline: a task moves to trusted VMs only
    Given a task in front of it on a that has 8 s left
    And a task of rank 1 on a that has 4 s left there and 4 s elsewhere, at a pace of 0, for 3 s
    And b has a trust of <trust>
    When moves are chosen in 2 rounds
    Then it <result>

    Examples:
      | trust | result |
      | 0.8   | moves  |
      | 0.79  | stays  |

  Scenario Outline: a moved task does not go back to its VM at once
    Given a task that has left a, the best VM, and <other>
    When it is placed and stopped 2 times
    Then its attempts were on <vms>

    Examples: it does not wait for a VM that does not fit
      | other        | vms   |
      | a free VM b  | b a   |
      | a full VM b  | a a   |

  Scenario Outline: gains are observed when moved tasks end
    Given a task that was moved as it would have ended after 10 s
    When after <end_s> s its task is <state>
    Then the observed gain is <gain>

    Examples: a task that is cancelled says nothing
      | end_s | state     | gain    |
      | 4     | done      | 6000 ms |
      | 12    | done      | -2000 ms |
      | 4     | running   | none    |
      | 4     | cancelled | none    |
