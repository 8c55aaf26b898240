Feature: Agents keep connections to few dispatchers, spread over all of them

  Scenario: on a small site each agent connects to all dispatchers
    Given 4 dispatchers, of which the first leads
    Then each of 50 agents stays connected with 4

  Scenario: on a large site each agent connects to the leader and three more
    Given 12 dispatchers, of which the first leads
    Then each of 66 agents stays connected with 4
    And each is connected with the leader
    And each other dispatcher has 9 agents or more

  Scenario Outline: without a leader each agent reaches every dispatcher in time
    Given <count> dispatchers, of which none leads
    Then each of <agents> agents is connected with 3 at first
    And each of them is connected with all of them within <within_s> s

    Examples:
      | count | agents | within_s |
      | 4     | 50     | 1        |
      | 12    | 66     | 3        |
      | 35    | 160    | 5        |

  Scenario: a leader that is named is dialled by all, and few others are
    Given 35 dispatchers, of which none leads
    When the third is named as the leader 0.5 s later
    Then each of 160 agents is connected with the third
    And all agents together dial at most 640 times, 5600 times without the search

  # Agents of a large site that were still connected with an earlier leader,
  # which had lost only the store, did not look for the new one.
  Scenario: a leader that is named beside the one that is followed is dialled
    Given 12 dispatchers, of which the first leads
    When the third is named as the leader
    Then each of 66 agents is connected with both, and with 5 at most
