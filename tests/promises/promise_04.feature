@promise_4
Feature: Some seconds after a zone is taken out, no task starts there

  Scenario Outline: promise 4 while: <fault>
    Given a site where tasks and requests start continuously
    When a zone is taken out while: <fault>
    Then nothing starts there more than 5 s after the acceptance
    And its tasks are completed there or in another zone
    And work starts there within 8 s after the zone is back in service

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
