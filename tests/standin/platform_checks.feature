Feature: What ran is judged by what callers were told before

  Scenario Outline: a run after tries of its job
    Given a run that began at 10 s, and tries <tries>
    Then that is <judged>

    Examples:
      | tries                               | judged  |
      | at 9 s refused                      | a fault |
      | at 9 s accepted                     | right   |
      | at 9 s unanswered                   | right   |
      | at 9 s not answered yet             | right   |
      | at 8 s refused, at 9 s accepted     | right   |
      | at 9 s refused, at 11 s accepted    | a fault |
      | at 9 s refused, at 11 s not answered yet | a fault |
