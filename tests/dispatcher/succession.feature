Feature: The strongest dispatcher leads

  Scenario: the strongest leads in any start order, and the next one after its end
    Given a platform site of dispatchers with 0.2, 0.45 and 1.0 of a core
    When jobs are submitted at a steady rate
    And the dispatchers are restarted one by one in this order
    Then within 8 s the dispatcher with 1.0 of a core leads
    When the leader is killed and not restarted
    Then within 6 s the dispatcher with 0.45 of a core leads
    And every accepted job is completed within 20 s
    And no task ran twice, out of order or beyond the capacity of a worker
    And no refused job ran
