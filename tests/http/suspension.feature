Feature: A server drops what departed clients sent while it stood still

  # A request whose client had left seconds before was carried out.
  Scenario Outline: after <state>, a request of a client that <client>
    Given an HTTP server that has gone through <state>
    When a client sends a request and <client>
    Then the request is <result>

    Examples:
      | state        | client                 | result         |
      | a suspension | leaves                 | not carried out |
      | a suspension | resets the connection  | not carried out |
      | a suspension | closes its sending side | answered with 503 |
      | a suspension | waits                  | answered with 200 |
      | a calm time  | closes its sending side | answered with 200 |
      | a calm time  | waits                  | answered with 200 |

  Scenario Outline: a clock that jumps by <gap_s> s between two checks
    Given a watch for suspensions
    When <gap_s> s pass without a check, and then <later_s> s with checks
    Then a suspension is recent: <recent>

    Examples:
      | gap_s | later_s | recent |
      | 1.4   | 0       | no     |
      | 1.6   | 0       | yes    |
      | 4     | 1       | yes    |
      | 4     | 3       | no     |
