Feature: Refused callers retry when the outage is likely to be over

  Scenario Outline: an outage is expected to last as long again as it has
    Given an outage of <outage_s> s
    When 200 callers are refused
    Then they retry after <min_s> to <max_s> s

    Examples:
      | outage_s | min_s | max_s |
      | 0.0      | 1     | 1     |
      | 0.9      | 1     | 1     |
      | 2.5      | 2     | 3     |
      | 30.0     | 4     | 4     |

  Scenario: callers that are refused together do not all retry together
    Given an outage of 2.5 s
    When 200 callers are refused
    Then each of 2 delays is given to 60 callers or more

  Scenario: an answer ends the outage
    Given an outage of 2.5 s
    When a call is answered
    And 200 callers are refused
    Then they retry after 1 to 1 s
