Feature: The entry reports errors and the outcomes of requests

  Scenario: invalid calls are answered with a status and a reason
    Given a small site
    Then the entry answers
      | call                                        | body             | status | contains                |
      | GET /healthz                                |                  | 200    | true                    |
      | GET /readyz                                 |                  | 200    | true                    |
      | GET /nothing                                |                  | 404    | no GET /nothing         |
      | POST /v1/requests/abay-reef/nothing         | {}               | 404    | no template nothing     |
      | POST /v1/requests/aarekreis/stock-check     | {}               | 404    | no template             |
      | POST /v1/requests/abay-reef/tank-watch      | {}               | 400    | not a request template  |
      | POST /v1/jobs                               | [1]              | 400    | no JSON object          |
      | POST /v1/jobs                               | {"job_id": "a/b"} | 400   | without slashes\|organisation: must be str |
      | POST /v1/jobs                               | {"jobid": 1}     | 400    | jobid: unknown key      |
      | PUT /v1/config                              | {}               | 400    | must be a revision      |
      | PUT /v1/config                              | {"expected": 1, "document": {"zones": {}}} | 400 | zones: must not be empty |
      | PUT /v1/config                              | {"expected": 1, "document": [1]} | 400 | must be a table |
      | PUT /v1/config                              | {"expected": 1, "document": {"templates": 5, "zones": {"a": 1}}} | 400 | zones.a: must be a table |
      | POST /v1/zones/nowhere/out                  | {}               | 404    | no zone nowhere         |
      | GET /v1/jobs/nothing                        |                  | 404    | no job nothing          |

  Scenario: a lost update is answered with the author and the differences
    Given a small site
    When mulu takes zone bole out of service
    Then an apply based on the old revision is refused, naming mulu and the zone

  Scenario: an idempotency key can be used for one body only
    Given a small site
    When a booking is sent with key k
    Then another body with key k is answered unknown, with reason "another request"
    And the same body with key k through the other entry is answered done
    And key k was executed once

  Scenario: a request without an available target is not run
    Given a small site with all targets leaving
    Then a stock check is answered not_run
    And a booking with a new key is answered not_run

  Scenario: requests over the quota of an organisation are shed
    Given a small site with a quota of 2 requests for abay-reef
    When 8 slow stock checks are sent concurrently
    Then 2 are done and 6 are answered 429 not_run

  Scenario: an entry that has not loaded the configuration answers 503
    Given a small site
    When an entry is restarted while it cannot reach the store
    Then a stock check through it is answered 503 not_run
    And a booking with a key through it is answered 503 unknown
    And a job through it is answered 503 unknown
    When the entry can reach the store again
    Then a stock check through it is answered 200 done within 5 s
