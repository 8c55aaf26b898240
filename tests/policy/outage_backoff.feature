Feature: Callers that were refused come back when it is worth it

  Scenario Outline: an outage is expected to last as long again as it has
    Given an outage of <outage_s> s
    When 200 callers are refused
    Then they come back after <least_s> to <most_s> s

    Examples:
      | outage_s | least_s | most_s |
      | 0.0      | 1       | 1      |
      | 0.9      | 1       | 1      |
      | 2.5      | 2       | 3      |
      | 30.0     | 4       | 4      |

  Scenario: callers refused together do not all return together
    Given an outage of 2.5 s
    When 200 callers are refused
    Then each of 2 times is drawn by 60 callers or more

  Scenario: an answer ends the outage
    Given an outage of 2.5 s
    When a question is answered
    And 200 callers are refused
    Then they come back after 1 to 1 s
