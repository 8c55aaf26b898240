Feature: HTTP input is bounded and answers are whole

  Background:
    Given an HTTP server that echoes bodies

  Scenario Outline: malformed input gets an error and harms nobody
    When a caller sends <what>
    Then the HTTP answer is <status>
    And the server still echoes

    Examples:
      | what                          | status |
      | no HTTP at all                | 400    |
      | a request without a host      | 400    |
      | headers of 64 KB              | 431    |
      | a body of 2 MB                | 413    |
      | a body that never comes       | 408    |
      | a request that makes it fail  | 500    |
      | a path that is not there      | 404    |
      | a body that is no JSON object | 400    |

  Scenario: 300 mutated requests from a fixed seed harm nobody
    When 300 mutated requests from a fixed seed are sent
    Then the server still echoes

  Scenario: connections over the bound are closed
    When 12 callers connect to a bound of 8 and stay
    Then at least 4 of those callers are closed

  Scenario: a draining server answers what is in flight and takes no more
    When it drains while a request is in flight
    Then the request in flight is answered whole
    And new connections are refused

  Scenario Outline: a bad answer is never passed on
    Given a server that answers with <what>
    Then the exchange fails within 2 s, sent

    Examples:
      | what                 |
      | a short body         |
      | nothing              |
      | no HTTP              |
      | a body over 1 MB     |
      | silence              |

  Scenario: a connection is not reused after a request was given up
    Given a server that answers late
    When a request is given up and another is sent
    Then the other gets its own answer

  Scenario: a server that is not there has seen nothing
    Then an exchange with a closed port fails, unsent
