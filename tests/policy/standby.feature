Feature: Agents stay connected with few dispatchers, and every one is chosen

  Scenario: a small site is connected whole
    Given 4 dispatchers, of which the first leads
    Then each of 50 agents stays connected with 4

  Scenario: on a large site each agent has the leader and three more
    Given 12 dispatchers, of which the first leads
    Then each of 66 agents stays connected with 4
    And each has the leader
    And each other dispatcher has 9 agents or more

  Scenario: without a leader all are asked
    Given 12 dispatchers, of which none leads
    Then each of 66 agents stays connected with 12
