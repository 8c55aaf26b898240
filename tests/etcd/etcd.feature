Feature: The etcd client follows the contract of the store

  Background:
    Given a store behind a proxy

  Scenario: a key is created once and replaced by compare-and-swap
    Then the calls return
      | call              | answer |
      | create a 1        | True   |
      | create a 2        | False  |
      | get a             | 1      |
      | get b             | None   |
      | swap a 3          | True   |
      | swap-stale a 4    | False  |
      | get a             | 3      |
      | create b 5        | True   |
      | create c 6        | True   |
      | scan              | a b c  |
      | scan-from b 1     | b      |
      | delete a c        | None   |
      | scan              | c      |

  Scenario: keys expire with their lease
    When a key is created under a lease of 1 s
    And the lease is not kept alive for 1.5 s
    Then the key is deleted and the lease cannot be kept alive

  Scenario Outline: a call without an answer fails within its timeout
    When the store is <fault>
    Then a write fails within 2 s with was_sent = <sent>
    And after the fault the write <effect> taken effect

    Examples:
      | fault           | sent  | effect  |
      | refusing        | True  | has not |
      | losing answers  | True  | has     |

  Scenario: a silent connection is closed and another is opened
    When open connections go silent
    Then the next read fails within 2 s
    And the read after it succeeds

  Scenario: calls over the budget wait, and fail if the wait is too long
    When 12 concurrent reads are made with a budget of 10 at once and 5 per second
    Then they take between 0.3 and 1.5 s
    And of 30 more concurrent reads some fail without being sent
