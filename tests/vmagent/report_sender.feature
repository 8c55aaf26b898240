Feature: An agent asks for a longer lease in time

  # After an outage of the store the next report came up to a second later, and
  # tasks had ended by then.
  Scenario: a lease that is about to end is asked for several times
    Given an agent with a lease of 2 s left whose leader grants none
    When it goes on for 1.8 s
    Then it has reported at least 5 times
    And it has its lease within 0.4 s once the leader grants one

  Scenario: an agent with a long lease reports at its usual rate
    Given an agent with a lease of 20 s left whose leader grants none
    When it goes on for 1.8 s
    Then it has reported at most 3 times
