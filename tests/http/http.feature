Feature: HTTP input is limited and responses are complete

  Background:
    Given an HTTP server that echoes bodies

  Scenario Outline: malformed input gets an error and affects no other client
    When an HTTP client sends <input>
    Then the HTTP response is <status>
    And the server still echoes

    Examples:
      | input                         | status |
      | no HTTP at all                | 400    |
      | a request without a host      | 400    |
      | headers of 64 KB              | 431    |
      | a body of 2 MB                | 413    |
      | a body that never arrives     | 408    |
      | a request that raises         | 500    |
      | an unknown path               | 404    |
      | a body with no JSON object    | 400    |

  Scenario: 300 mutated requests from a fixed seed affect no other client
    When 300 mutated requests from a fixed seed are sent
    Then the server still echoes

  Scenario: connections over the limit are closed
    When 12 clients connect to a server with a limit of 8 and stay
    Then at least 4 of those clients are disconnected

  Scenario: a draining server completes requests in flight and accepts no more
    When the HTTP server drains while a request is in flight
    Then the request in flight gets a complete response
    And new connections are refused

  Scenario Outline: a malformed or incomplete response is never returned
    Given a server that responds with <data>
    Then the exchange fails within 2 s and counts as sent

    Examples:
      | data                 |
      | a short body         |
      | nothing              |
      | no HTTP              |
      | a body over 1 MB     |
      | silence              |

  Scenario: a connection is not reused after a request timed out on it
    Given a server that responds late
    When a request times out and another is sent
    Then the other request gets its own response

  Scenario: a refused connection counts as not sent
    Then an exchange with a closed port fails and counts as not sent

  Scenario Outline: a response is given up when it stops, not while it proceeds
    Given a server that sends a body of 8 parts, <gap>
    When a client allows 0.8 s of silence and <limit> s in all
    Then the exchange <result>

    Examples:
      | gap                         | limit | result                      |
      | 0.3 s apart                 | 20    | returns the whole body      |
      | and stops after 2 of them   | 20    | fails after 0.8 s to 2.5 s  |
      | 0.3 s apart                 | 1.2   | fails after 1.2 s to 2.0 s  |

  Scenario Outline: a response is given up when it proceeds too slowly
    Given a server that sends a body of 8 parts, 0.3 s apart
    When a client allows 0.8 s of silence and <rate> bytes/s at least
    Then the exchange <result>

    Examples:
      | rate  | result                      |
      | 2500  | returns the whole body      |
      | 20000 | fails after 0.8 s to 2.0 s  |

  # A start order was sent although it was cancelled while its connection was
  # being opened.
  Scenario: a request that is withdrawn once it is connected is not sent
    Given a server that records the requests that it gets
    When a client withdraws a request as it is about to be sent
    Then the server got a connection and no request
    And the next request is sent on the same connection
