Feature: Run times are measured from reports of running attempts

  Reports come twice a second from each VM, of paced, resumed and ended
  attempts, and of agents that measure nothing.

  Scenario Outline: a task of 4 s that <kind>
    Given VMs that run tasks of a step whose caller estimates 10 s
    When a task reports <reports> and ends <end>
    Then a later task of the step is ordered with <estimate_ms> ms within <percent> %

    Examples: pairs of a time at full pace in ms and a progress in percent; less work counts less beside the caller's figure
      | kind                                    | reports                         | end        | estimate_ms | percent |
      | runs from nothing                       | 1:3, 600:18, 1400:38, 2600:68   | done, 3900 | 4000        | 10      |
      | has an early report only                | 1:3, 600:18                     | not        | 4000        | 25      |
      | resumes at 40 %                         | 0:0, 0:40, 1:40, 600:55, 1400:75 | done, 2400 | 4000       | 10      |
      | is first reported at 60 %               | 1500:60                         | done, 3100 | 4000        | 10      |
      | is interrupted                          | 1:3, 900:25                     | interrupted, 2000 | 4000 | 25      |
      | is measured anew by a restarted agent   | 1:3, 900:25, 0:60, 1:70         | done, 1200 | 4000        | 10      |
      | ends within a tenth of its last report  | 1:95                            | done, 200  | 10000       | 10      |
      | runs under an agent that measures nothing | 0:3, 0:40                     | done, 0    | 10000       | 10      |

  Scenario: an end that is reported again counts once
    Given VMs that run tasks of a step whose caller estimates 10 s
    When a task reports 1:3, 600:18 and ends done, 3900
    And its end is reported 3 more times
    Then 2 samples are counted

  Scenario: a new session of an agent starts anew
    Given VMs that run tasks of a step whose caller estimates 10 s
    When a task reports 400:10 and ends not
    And its agent connects again
    And a task reports 600:45, 1000:55, 2200:85 and ends not
    Then a later task of the step is ordered with 4000 ms within 10 %

  Scenario: a later leader reads what the first one has learned
    Given a store and a process that has learned run times
    When it saves them and another process loads them
    Then both know the same rows
    When the store is unavailable as it saves them
    Then it saves them later, and nothing twice
    When the value in the store is damaged
    Then another process goes on without it

  Scenario: the cost of a report does not depend on the number of VMs
    Given sites of 160 and 640 VMs, each with 7 running tasks
    When each VM reports 4 times
    Then one report costs at 640 VMs at most 2 times as much as at 160
