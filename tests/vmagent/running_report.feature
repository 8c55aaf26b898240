Feature: Reports tell attempts that run from those that may run

  A leader that takes an attempt without a confirmed start for a running one
  does not see that its workflow stands still.

  Scenario Outline: which attempts are reported as confirmed
    Given an attempt that <state>
    Then its report says that it is <reported>

    Examples:
      | state                                         | reported    |
      | was ordered                                   | unconfirmed |
      | was started                                   | confirmed   |
      | is listed by the worker                       | confirmed   |
      | was listed by the boot before                 | unconfirmed |
      | was given up, and its stop is acknowledged    | unconfirmed |
      | was not started, and its stop is acknowledged | unconfirmed |
      | was given up, and is listed by the worker     | confirmed   |
