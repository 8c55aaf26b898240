Feature: Agents keep connections to few dispatchers, spread over all of them

  Scenario: on a small site each agent connects to all dispatchers
    Given 4 dispatchers, of which the first leads
    Then each of 50 agents stays connected with 4

  Scenario: on a large site each agent connects to the leader and three more
    Given 12 dispatchers, of which the first leads
    Then each of 66 agents stays connected with 4
    And each is connected with the leader
    And each other dispatcher has 9 agents or more

  Scenario: without a leader each agent connects to all dispatchers
    Given 12 dispatchers, of which none leads
    Then each of 66 agents stays connected with 12
