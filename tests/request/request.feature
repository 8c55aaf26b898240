Feature: An agent keeps attempts and knows which ones it may have evicted

  Scenario: the answer of an attempt is kept
    Given an attempt registry started at 1000 ms
    When attempt 1 of k begins at 2000 ms and is answered
    Then attempt 1 of k is found with its answer

  Scenario: the registry is not complete for the time of an evicted attempt
    Given an attempt registry started at 1000 ms
    When attempt 1 of k begins at 2000 ms and is answered
    And 600 s later attempt 1 of other begins and is answered
    Then attempt 1 of k is not found
    And the registry is not complete since 2000 ms
    And the registry is complete since 2001 ms

  Scenario: the registry is not complete for the time before its start
    Given an attempt registry started at 1000 ms
    Then the registry is not complete since 999 ms
    And the registry is complete since 1000 ms

  Scenario: evicting idempotent attempts keeps the registry complete
    Given an attempt registry started at 1000 ms
    When an idempotent attempt begins at 2000 ms and is answered
    And 600 s later attempt 1 of other begins and is answered
    Then the registry is complete since 1500 ms

  Scenario: bodies beyond the limit are discarded, their attempts are kept
    Given an attempt registry started at 1000 ms
    When 6 attempts are answered with 1 MiB each
    Then the first attempt is kept with outcome unknown and no body
    And the last attempt has its body
