Feature: An agent answers for each attempt, and holds its slot as long as it may run

  Background:
    Given a request desk before a target with 1 slot

  Scenario: an answer outlives the connection that asked for it
    When attempt 1 of k is sent and its connection is lost at once
    Then asking for attempt 1 of k within 3 s gives done
    And k ran once

  Scenario: a slot is held after the caller's deadline
    When attempt 1 of k is sent with a deadline of 0.2 s
    Then its answer is unknown
    And a run of attempt 1 of other is refused
    And asking for attempt 1 of k within 3 s gives done

  Scenario: a slot is held for a while after the target was cut off
    When attempt 1 of k is sent and the target is cut off
    Then its answer is unknown
    And a run of attempt 1 of other is refused

  Scenario: what was never seen is forbidden, and refused when it comes
    Then asking for attempt 1 of k within 1 s gives not_run
    When attempt 1 of k is sent with a deadline of 2 s
    Then its answer is not_run
    And k ran 0 times

  Scenario: the same attempt again runs once
    When attempt 1 of k is sent twice at once
    Then its answer is done
    And k ran once
