Feature: A dispatcher shuts down without failing callers

  Scenario Outline: requests arrive until the platform has noticed the shutdown
    Given a platform site
    When <which> is stopped, and submissions still arrive at it for 2 s
    Then every readiness check fails
    And every submission to it is answered 200
    And it exits with status 0 within 6 s of the signal
    And each submitted job is completed within 10 s

    Examples:
      | which         |
      | the leader    |
      | a follower    |
