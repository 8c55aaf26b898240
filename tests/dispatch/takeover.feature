Feature: A leader that is replaced may live, reach agents and not know of it

  # review/12: a refused connection counted as the death of the leader. The
  # leases that it granted afterwards were not, and tasks ran twice.
  Scenario Outline: the next leader waits for leases that the last one grants
    Given a leader that an agent of <build> follows
    When the leader is cut off from the store and the next leader, but not from the agent
    And the next one claims the log <wait_s> s later
    Then it takes the VM for lost after the last lease of the agent has ended
    And at most 1.4 s after the claim

    Examples:
      | build            | wait_s |
      | the same build   | 0      |
      | the same build   | 0.4    |
      | the same build   | 0.8    |
      | an earlier build | 0      |
      | an earlier build | 0.4    |

  # review/11: a process that had been cut off believed the refusals of that
  # time on its return, and replaced a leader that was well.
  Scenario Outline: <process> does not replace a leader that is well
    Given a leader that refuses connections for 0.6 s
    When <process> competes for the leadership all the while
    Then the leader has not been replaced 1.5 s later

    Examples:
      | process                                             |
      | a process that is cut off from the store as long    |
      | a process that is cut off from the store longer     |
      | a process whose claims get no answer as long        |

  Scenario: a leader that refuses connections is replaced
    Given a leader that refuses connections for 5 s
    When a process that reaches the store competes for the leadership
    Then it leads within 0.6 s
