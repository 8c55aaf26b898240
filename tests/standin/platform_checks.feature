Feature: The checks of a platform site report what breaks a guarantee

  Scenario Outline: a run of a job after submissions of it
    Given a run started at 10 s, with submissions <submissions>
    Then the check of refused jobs reports <verdict>

    Examples:
      | submissions                              | verdict      |
      | at 9 s refused                           | a violation  |
      | at 9 s accepted                          | no violation |
      | at 9 s unanswered                        | no violation |
      | at 9 s not answered yet                  | no violation |
      | at 8 s refused, at 9 s accepted          | no violation |
      | at 9 s refused, at 11 s accepted         | a violation  |
      | at 9 s refused, at 11 s not answered yet | a violation  |

  Scenario Outline: a serving task runs with best-effort tasks at a pace
    Given a run of "serve 50 150" and 3 runs of "fill 60 9" at pace <pace>
    When these runs last for <duration_s> s
    Then a latency violation of 4 s is <verdict>
    And a runner with capacity for one task is not overcommitted

    Examples: two at full pace exceed the target
      | pace | duration_s | verdict      |
      | 1.0  | 3.8        | not reported |
      | 1.0  | 4.2        | reported     |
      | 0.5  | 9.0        | not reported |
      | 0.0  | 9.0        | not reported |
