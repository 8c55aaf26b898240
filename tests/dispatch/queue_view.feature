Feature: Operators see the load of all queues at once

  Scenario: one command shows the queues of the leader
    Given the metrics pages of a leader in an overload and of another dispatcher
    When "queues" asks both
    Then it ends with 0 and shows the queue with its backlog, wait and refusals
    And the page of metrics is still served

  Scenario: nobody leads
    Given the metrics pages of a leader in an overload and of another dispatcher
    When "queues" asks the other dispatcher
    Then it ends with 5 and shows "does not lead"

  Scenario: the beginning and the end of an overload are logged
    When an overload of 30 s is played
    Then one line tells of its beginning and one of its end

  Scenario: the figures that rank a waiting workflow are known in an overload
    When an overload of 30 s is played until its end
    Then each waiting workflow is explained by tier, density and work
