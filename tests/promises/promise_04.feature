@promise_4
Feature: Some seconds after a zone is taken out, no task starts there

  Scenario Outline: promise 4 while: <fault>
    Given a site with work that starts all the time
    When a zone is taken out while: <fault>
    Then nothing starts there later than 5 s after that was accepted
    And its tasks are done elsewhere or end there by themselves
    And after the zone is back work starts there again within 8 s

    Examples: faults
      | fault                          |
      | nothing                        |
      | owner killed                   |
      | owner frozen past its lease    |
      | agents of the zone frozen      |
      | agents of the zone killed      |
      | entry frozen                   |
      | silent to schedulers           |
      | silent towards schedulers only |
      | silent to entries              |
      | silent to the store            |
      | starts delayed on their way    |
      | store slow                     |
      | store down                     |
      | store loses answers            |
