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
