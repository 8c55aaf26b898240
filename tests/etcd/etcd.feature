Feature: The adapter speaks to the platform's store as the contract says

  Background:
    Given a store behind a proxy

  Scenario: a key is created once and replaced by comparison
    Then the calls answer
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

  Scenario: keys end with their lease
    When a key is created under a lease of 1 s
    And the lease is not kept alive for 1.5 s
    Then the key is gone and the lease cannot be kept alive

  Scenario Outline: a call that gets no answer fails within its time
    When the store is <fault>
    Then a write fails within 2 s and says that it was sent: <sent>
    And after the fault the write <effect> taken effect

    Examples:
      | fault           | sent  | effect  |
      | refusing        | True  | has not |
      | losing answers  | True  | has     |

  Scenario: a silent connection is given up and another is opened
    When open connections go silent
    Then the next read fails within 2 s
    And the read after it succeeds

  Scenario: calls over the budget wait, and fail when the wait is long
    When 12 reads are made at once under a budget of 10 at once and 5 a second
    Then they take between 0.3 and 1.5 s
    And 30 more at once fail in part, unsent
