@promise_8
Feature: A target that is leaving gets no new work after some seconds

  Scenario Outline: promise 8 while: <fault>
    Given a site under stock checks and bookings
    When a target <leaves> while: <fault>
    Then that target receives nothing more than 5 s later
    And other targets answered the requests meanwhile

    Examples: faults
      | leaves              | fault                       |
      | says that it leaves | nothing                     |
      | says that it leaves | silent to entries           |
      | says that it leaves | silent towards entries only |
      | says that it leaves | entry frozen                |
      | says that it leaves | entry killed                |
      | says that it leaves | agent killed                |
      | says that it leaves | store down                  |
      | falls silent        | nothing                     |
      | falls silent        | silent to entries           |
      | falls silent        | agent killed                |
