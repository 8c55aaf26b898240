@rows
Feature: Best-effort tasks keep no serving task over its latency target for long

  Scenario Outline: pacing holds the target without stopping tasks: <fault>
    Given a platform site with a VM that runs a serving task beside interfering best-effort tasks
    When this fault is injected into the platform site: <fault>
    And more interfering best-effort tasks are submitted
    Then no serving task was over its target for 4 s at a stretch
    And best-effort tasks have made progress since

    Examples:
      | fault                |
      | nothing              |
      | an agent is killed   |
      | the leader is killed |
      | everything is killed |
