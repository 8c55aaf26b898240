Feature: Dispatchers do not ask a leader again and again that has lost the store

  While the store was away for 4 s, the dispatchers of a site sent each other
  1,548 calls that were refused, and 91 callers got their answer late. The
  time of these plays is virtual, and there is no network.

  Scenario: a refusal because of the store holds for all callers
    Given 10 dispatchers whose leader loses the store for 4 s
    When 200 callers submit a workflow during the outage, and 50 after it
    Then the leader got no more than a sixth of the calls that it gets without the hold
    And no workflow that was refused has been recorded
    And each caller of the first 1 s has its answer within 1.3 s, and each later one within 0.2 s
    And each caller that came 0.3 s after the return or later was served within 0.3 s
    And no more than 5 callers were refused after the return

  Scenario: reads of known workflows are answered during the outage
    Given 10 dispatchers whose leader loses the store for 4 s
    When 200 callers submit a workflow during the outage, and each dispatcher is asked for a known one
    Then each read was answered within 0.05 s
    And the leader got no more than a sixth of the calls that it gets without the hold

  Scenario: another leader ends the hold
    Given 10 dispatchers whose leader loses the store for 4 s
    When another leader appears after 2 s
    Then each caller that came 2.3 s after the loss or later was served within 0.3 s

  Scenario: the retry of an uncertain submission is not refused as not sent
    Given 10 dispatchers whose leader loses the store for 4 s
    When callers retry at the same dispatcher what was uncertain
    Then each of these retries is uncertain or found
