Feature: Dispatchers do not ask a leader again and again that has lost the store

  While the store was away for 4 s, the dispatchers of a site sent each other
  1,548 calls that were refused, and 91 callers got their answer late. The
  time of these plays is virtual, and there is no network.

  Scenario: a refusal because of the store holds for all callers
    Given 10 dispatchers whose leader loses the store for 4 s
    When 200 callers submit a workflow and 40 read one during the outage, and 50 submit after it
    Then the leader got no more than a sixth of the calls that it gets without the hold
    And no workflow that was refused has been recorded
    And each caller of the first 1 s has its answer within 1.3 s, and each later one within 0.2 s
    And each read of a known workflow was answered within 0.05 s
    And no retry of an uncertain submission at any dispatcher was refused
    And each caller that came 4.3 s after the loss or later was served within 0.3 s
    And no more than 10 of the 50 callers after the return were refused

  Scenario: another leader ends the hold
    Given 10 dispatchers whose leader loses the store for 4 s
    When another leader appears after 2 s
    Then each caller that came 2.3 s after the loss or later was served within 0.3 s
