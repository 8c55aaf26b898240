@promise_8
Feature: A target that is leaving gets no new work after some seconds

  Scenario Outline: promise 8 while: <fault>
    Given a site with stock checks and bookings
    When a target <leaves> while: <fault>
    Then it gets nothing later than 5 s after that
    And the requests in that time were answered by others

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
