Feature: The front end tells callers what is wrong, and the truth

  Scenario: calls that cannot be served are answered with reasons
    Given a small site
    Then the front end answers
      | call                                        | body             | status | shows                 |
      | GET /healthz                                |                  | 200    | true                  |
      | GET /readyz                                 |                  | 200    | true                  |
      | GET /nothing                                |                  | 404    | no GET /nothing       |
      | POST /v1/requests/abay-reef/nothing         | {}               | 404    | no template nothing   |
      | POST /v1/requests/aarekreis/stock-check     | {}               | 404    | no template           |
      | POST /v1/requests/abay-reef/tank-watch      | {}               | 400    | no request template   |
      | POST /v1/jobs                               | [1]              | 400    | no JSON object        |
      | POST /v1/jobs                               | {"job_id": "a/b"} | 400   | without slashes\|organisation: must be str |
      | POST /v1/jobs                               | {"jobid": 1}     | 400    | jobid: unknown key    |
      | PUT /v1/config                              | {}               | 400    | must be a revision    |
      | PUT /v1/config                              | {"expected": 1, "document": {"zones": {}}} | 400 | zones: there is none |
      | PUT /v1/config                              | {"expected": 1, "document": [1]} | 400 | must be a table |
      | PUT /v1/config                              | {"expected": 1, "document": {"templates": 5, "zones": {"a": 1}}} | 400 | zones.a: must be a table |
      | POST /v1/zones/nowhere/out                  | {}               | 404    | no zone nowhere       |
      | GET /v1/jobs/nothing                        |                  | 404    | no job nothing        |

  Scenario: the loser of a race is told who won and what differs
    Given a small site
    When mulu takes a zone out
    Then an apply made from the revision before is told of mulu and the zone

  Scenario: a key that was used for another body is refused
    Given a small site
    When a booking is sent under key k
    Then another body under key k is answered unknown, telling "another request"
    And the same body under key k through the other entry is answered done
    And the site ran k once

  Scenario: a request that no target can take is truly not run
    Given a small site whose targets are all leaving
    Then a stock check is answered not_run
    And a booking under a key of its own is answered not_run

  Scenario: requests over the organisation's bound are shed
    Given a small site in which abay-reef may have 2 requests in flight
    When 8 slow stock checks are sent at once
    Then 2 are done and 6 are answered 429 not_run

  Scenario: an entry that has not read the configuration says what it knows
    Given a small site
    When an entry is started anew while the store is away from it
    Then a stock check through it is answered 503 not_run
    And a booking under a key through it is answered 503 unknown
    And a job through it is answered 503 unknown
    When the store is back
    Then a stock check through it is answered 200 done within 5 s
