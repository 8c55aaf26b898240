Feature: A dispatcher that is asked to stop fails no caller

  Scenario Outline: callers are sent to it until the platform has noticed
    Given a platform site
    When <which> is asked to stop, and for 2 s callers still come to it
    Then its readiness was refused from the first check on
    And every job that came to it is answered 200
    And it ends with status 0 within 6 s of being asked
    And each of the jobs is completed within 10 s

    Examples:
      | which         |
      | the leader    |
      | another one   |
