Feature: The burn report shows error budgets and their burn rates

  Scenario: rows sum the counts of all entries over each window
    Given these counts of two entries at minute 1000
      | entry | minute | template    | requests | missed |
      | 1     | 999    | stock-check | 900      | 1      |
      | 2     | 999    | stock-check | 100      | 1      |
      | 1     | 990    | stock-check | 1000     | 0      |
      | 1     | 700    | stock-check | 1000     | 7      |
      | 2     | 999    | settlement  | 10       | 0      |
    And the objectives
      | template    | objective |
      | stock-check | 0.999     |
      | settlement  | 0.99      |
    Then the report is
      | template    | requests | missed | budget left | short burn | long burn |
      | stock-check | 3000     | 9      | -2.00       | 2.00       | 1.00      |
      | settlement  | 10       | 0      | 1.00        | 0.00       | 0.00      |

  Scenario: the history drops counts older than six hours
    Given a burn history with a count in each of the last 400 minutes
    Then it holds 360 minutes
