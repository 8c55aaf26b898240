Feature: The judges of a platform site see what breaks a promise

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

  Scenario Outline: a serving task beside filling tasks at a pace
    Given a run of "serve 50 150" beside 3 of "fill 60 9" at a pace of <pace>
    When their runner works for <played_s> s
    Then a stretch of 4 s over the target is <found>
    And a runner that holds one such run is not too full

    Examples: two at full pace exceed the target
      | pace | played_s | found     |
      | 1.0  | 3.8      | not found |
      | 1.0  | 4.2      | found     |
      | 0.5  | 9.0      | not found |
      | 0.0  | 9.0      | not found |
