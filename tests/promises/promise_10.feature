@promise_10
Feature: An accepted configuration is in force everywhere within seconds

  Scenario Outline: promise 10 while: <fault>
    Given a site whose configuration revisions are sampled
    When 6 changes are made while: <fault>
    Then the revision of no process decreased
    And each change was in force in each running process within 5 s
    And the store holds the newest revision

    Examples: faults
      | fault                            |
      | nothing                          |
      | operators race                   |
      | owner killed                     |
      | owner frozen past its lease      |
      | agent killed                     |
      | entry frozen                     |
      | entry killed                     |
      | silent to schedulers             |
      | silent towards schedulers only   |
      | silent from schedulers only      |
      | silent to entries                |
      | silent to the store              |
      | store slow                       |
      | store loses answers              |
      | store down                       |
      | leases of the store lapse        |
      | store restored with older config |
