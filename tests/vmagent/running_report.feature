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

  # Jobs that no worker had started were not given as waiting.
  Scenario Outline: which ended attempts are reported to have run
    Given an attempt that <state>
    When its worker is lost
    Then the report of its end says that it <reported>

    Examples:
      | state                                         | reported    |
      | was ordered                                   | may not have run |
      | was started                                   | has run     |
      | is listed by the worker                       | has run     |
      | was listed by the boot before                 | has run     |
      | was given up, and its stop is acknowledged    | may not have run |

  Scenario: an attempt that is first listed as ended has run
    Given an attempt that was ordered
    When a list of its worker shows it first as stopped
    Then the report of its end says that it has run
