Feature: An agent runs each attempt at most once, and holds its slot meanwhile

  Background:
    Given a request executor with a target of 1 slot

  Scenario: an attempt outlives the connection that requested it
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

  Scenario: an unknown attempt is forbidden, and refused when it arrives
    Then asking for attempt 1 of k within 1 s gives not_run
    When attempt 1 of k is sent with a deadline of 2 s
    Then its answer is not_run
    And k ran 0 times

  Scenario: an attempt that is sent twice runs once
    When attempt 1 of k is sent twice at once
    Then its answer is done
    And k ran once
