Feature: Unanswered polls do not let the hold of a sound worker lapse

  # Attempts lapsed on sound workers: each lost poll took 1 to 1.5 s, and the
  # next list on a new connection extended no deadline.
  Scenario Outline: holds that are lost in a row
    Given an agent whose worker runs an attempt over HTTP
    When the worker answers the next holds as in "<row>", where x is no answer
    Then its attempt has not lapsed 5 s later

    Examples:
      | row  |
      | xxx  |
      | xxxx |
      | xx.x |
      | x.xx |

  Scenario: holds with a deadline that are lost in a row
    Given an agent whose worker runs an attempt over HTTP
    When the worker leaves the next 3 holds with a deadline unanswered
    Then its attempt has not lapsed 6 s later

  Scenario Outline: half of the holds are lost, seed <seed>
    Given an agent whose worker runs an attempt over HTTP
    When the worker leaves half of the holds unanswered, by seed <seed>
    Then its attempt has not lapsed 10 s later

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  # The proof that an attempt does not run took 1.6 s after a lost poll.
  Scenario: a list follows a lost poll soon
    Given an agent whose worker runs an attempt over HTTP
    When the worker answers the next holds as in "x", where x is no answer
    Then a list is applied within 1 s after the lost hold was sent

  # A runner accepts 64 connections, and may keep those of lost calls open.
  Scenario: a worker that answers nothing gets few connections
    Given an agent whose worker runs an attempt over HTTP
    When the worker answers no hold for 5 s
    Then it got at most 30 connections, and had at most 4 at a time
    And the end of its attempt is reported after it ended, and within 3 s

  Scenario: a worker that answers gets no further connections
    Given an agent whose worker runs an attempt over HTTP
    When the worker answers all holds for 3 s
    Then it got no connection, and 5 to 7 holds

  # Its polls would all be taken for lost, and tasks placed elsewhere.
  Scenario: a worker that answers late is polled over one connection
    Given an agent whose worker runs an attempt over HTTP
    When the worker answers all holds 0.6 s late, and 5 s have passed
    And the worker answers all holds for 4 s
    Then it got no connection, and 3 to 7 holds

  Scenario: lost polls and late extensions are logged, but not each of them
    Given an agent whose worker runs an attempt over HTTP
    When the worker answers the next holds as in "xxxxxxxxxxxxxx", where x is no answer
    Then within 5 s one late extension and 2 to 5 failures are logged

  # A list that shows what became of an attempt came up to 0.5 s late.
  Scenario: polls do not wait while a stop is open
    Given an agent whose worker runs an attempt over HTTP
    When its stop is ordered, and the worker answers no stop for 2 s
    Then the worker got 8 to 25 holds in the last second

  Scenario: polls wait once an attempt without an answer to its start is listed
    Given an agent whose worker runs an attempt, and did not answer its start
    When the worker answers all holds for 3 s
    Then it got no connection, and 5 to 7 holds
