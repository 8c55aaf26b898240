Feature: An agent answers for the attempts that it has seen, and no others

  Scenario: an answer is kept and found again
    Given an answer book opened at 1000
    When attempt 1 of k begins at 2000 and is answered
    Then attempt 1 of k is found with its answer

  Scenario: what was forgotten is never vouched for
    Given an answer book opened at 1000
    When attempt 1 of k begins at 2000 and is answered
    And 600 s later attempt 1 of other begins and is answered
    Then attempt 1 of k is not found
    And nothing claimed at 2000 is vouched for
    And something claimed at 2001 is vouched for

  Scenario: what was claimed before the book was opened is not vouched for
    Given an answer book opened at 1000
    Then nothing claimed at 999 is vouched for
    And something claimed at 1000 is vouched for

  Scenario: forgetting idempotent attempts takes no word away
    Given an answer book opened at 1000
    When an idempotent attempt begins at 2000 and is answered
    And 600 s later attempt 1 of other begins and is answered
    Then something claimed at 1500 is vouched for

  Scenario: bodies over the bound are dropped, the attempt is remembered
    Given an answer book opened at 1000
    When 6 attempts are answered with a megabyte each
    Then the first is remembered as run, without its answer
    And the last has its answer
