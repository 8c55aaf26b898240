Feature: Agents that start before the dispatchers find them at once

  After a loss of power all processes start anew. An agent that is up first is
  refused by the dispatchers, and each try doubles the pause before the next,
  to two seconds. Standing tasks wait for their agents. The time of the play
  is virtual, and there is no network.

  Scenario Outline: a site whose dispatchers listen <late> s after the agents
    Given 62 agents that start within 1 s
    When 3 dispatchers listen and register <late> s later
    Then each agent has dialled the one that leads within 0.6 s
    And by the earlier decision some did so after <earlier> s or later

    Examples:
      | late | earlier |
      | 2    | 1.2     |
      | 4    | 1.2     |
