Feature: Run times and trust in VMs are measured from reports

  Reports come twice a second from each VM, of paced, resumed and ended
  attempts, and of agents that measure nothing.

  Background:
    Given a fleet of 6 VMs that run a step of 12 tasks of 4 s, estimated at 10 s

  Scenario Outline: a task that <kind>
    When a task reports <reports> and ends <end>
    Then a task of its step is ordered with <order_ms> ms within <percent> %, by <samples> samples

    Examples: times at full pace in ms with progress in percent; less work counts less beside the caller's figure
      | kind                                | reports                          | end               | order_ms | percent | samples |
      | runs from nothing                   | 1:3, 600:18, 1400:38, 2600:68    | done, 3900        | 4000     | 10      | 4       |
      | has an early report only            | 1:3, 600:18                      | not               | 4000     | 25      | 1       |
      | resumes at 40 %                     | 0:0, 0:40, 1:40, 600:55, 1400:75 | done, 2400        | 4000     | 10      | 3       |
      | is first reported at 60 %           | 1500:60                          | done, 3100        | 4000     | 10      | 1       |
      | is interrupted                      | 1:3, 900:25                      | interrupted, 2000 | 4000     | 25      | 1       |
      | gets a new agent, which counts anew | 1:3, 900:25, new, 1000:60        | done, 2600        | 4000     | 10      | 2       |
      | ends soon after its last report     | 1:95                             | done, 200         | 10000    | 0       | 0       |
      | has an agent that measures nothing  | 0:3, 0:40                        | done, 0           | 10000    | 0       | 0       |

  Scenario Outline: a VM that <history>
    When one of the VMs <history>
    Then it is <rating>, and the others are trusted

    Examples: only what the VM itself causes counts
      | history                                       | rating   |
      | runs at a quarter of the speed                | doubtful |
      | runs at a quarter of the speed, paced         | trusted  |
      | fails tasks of 2 workflows                    | doubtful |
      | fails tasks of 2 workflows that fail on vm1   | trusted  |
      | starts again twice                            | doubtful |
      | starts again together with all others         | trusted  |
      | is lost once, which is recorded late          | probed   |

  Scenario: doubt and its end are logged and counted once
    When one of the VMs fails tasks of 2 workflows
    Then 2 reviews log and count one vm_doubted
    When it finishes 9 tasks
    Then 2 reviews log and count one vm_trusted_again

  Scenario: a later leader reads what the first one has learned
    When a task reports 1:3, 600:18 and ends done, 3900
    And it is saved to a store that is unavailable at first, and 3 times later
    Then the store was written once, and another process loads the same rows
    And another process goes on without a damaged value

  Scenario Outline: a report of <kind> is passed over
    When attempt <attempt> of task <task> is reported at 3, 40 and 80 %
    Then it gives no samples, and best-effort tasks are ranked

    Examples: an agent may know of tasks that no log has
      | kind                         | task   | attempt |
      | a step that no workflow has  | 0.7.0  | 1       |
      | a task that its step lacks   | 0.0.99 | 1       |
      | an attempt that is not known | 0.0.0  | 2       |

  Scenario: a process that leads again goes on from what others learned since
    When a dispatcher leads, learns that a task runs for 2 s, and leads again
    And the store has learned 8 s since
    Then its leader and its order both expect 8 s

  Scenario: the cost of a report does not depend on the number of VMs
    Then a report costs at 640 VMs at most 2 times as much as at 160
