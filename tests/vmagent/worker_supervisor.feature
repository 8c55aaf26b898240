Feature: The agent beside a worker tells truly what became of attempts

  Scenario: a start without an answer is sent again until there is one
    Given a seat whose worker loses the answers to 2 starts
    When an attempt is ordered
    Then within 2 s it runs, was started once, and no end is reported

  Scenario: a refused start is reported as never run
    Given a seat whose worker has no room
    When an attempt is ordered
    Then within 2 s its end is not_run

  Scenario: a start that may come late is forbidden before it is given up
    Given a seat whose worker loses the answer to 1 start and then has no room
    When an attempt is ordered
    Then within 3 s its end is not_run
    And the worker was told to refuse it before that

  Scenario: a start that ran unseen is not given up as never run
    Given a seat whose worker loses the answers to 30 starts
    When an attempt is ordered, and its looks go unanswered, too
    And the agent gives it up, and looks are answered again
    Then within 2 s its end is interrupted

  Scenario Outline: ends of the worker
    Given a seat whose worker runs an attempt
    When the worker lists it as <how>
    Then within 2 s its end is <kind>
    And the worker may forget it only once the end is on record

    Examples:
      | how     | kind        |
      | done    | done        |
      | failed  | failed      |
      | lapsed  | interrupted |
      | stopped | interrupted |

  Scenario: an agent that starts finds what runs, and lists it before it reports
    Given a worker that runs an attempt of an earlier agent
    When a seat follows a leader
    Then within 2 s it is listed with that attempt

  Scenario: ends stay listed for good at the worker of a restarted agent
    Given a worker that has 57 ends of an earlier agent behind it
    When a seat follows a leader
    And an attempt ends, and another, both are put on record
    Then within 2 s the worker was let forget all 59 ends
    And its seat looks no more than 10 times in 1 s

  Scenario: a filling task that an earlier agent has paused stays paused for good
    Given a worker that runs an attempt of an earlier agent, which has paused it
    When a seat follows a leader
    And the leader tells it that the attempt fills
    Then within 2 s the worker is told its pace, 100 percent

  Scenario: the worker is held no longer than the lease, and silence ends it
    Given a seat whose worker runs an attempt
    When the worker falls silent
    Then its end is not reported before its last deadline
    And within 7 s its end is interrupted

  Scenario: a new boot of the worker ends what an earlier one ran
    Given a seat whose worker runs an attempt
    When a new boot of the worker reports
    Then within 1 s its end is interrupted

  Scenario: a list of a new boot tells of it before any report
    Given a seat whose worker runs an attempt
    When the worker starts again without a report
    Then no end of the new boot was settled by numbers of the earlier one

  Scenario: a start that met a new boot is stopped before it counts as ended
    Given a seat whose worker runs nothing
    When the worker starts again, and at once an attempt is ordered
    Then within 3 s its end is interrupted
    And the worker refuses a late copy of its start

  Scenario: an order for an earlier boot is refused
    Given a seat whose worker runs nothing
    When a new boot of the worker reports
    And an attempt is ordered for the earlier boot
    Then within 1 s its end is not_run

  Scenario: a leaving worker takes no order
    Given a seat whose worker runs nothing
    When the worker reports that it is draining
    And an attempt is ordered
    Then within 1 s its end is not_run

  Scenario: an order on an old clock is refused
    Given a seat whose worker runs nothing
    When an attempt is ordered on a clock 4000 ms old
    Then within 1 s its end is not_run

  Scenario: a stop of an attempt whose start is still on its way
    Given a seat whose worker loses the answers to 30 starts
    When an attempt is ordered
    And it is to be stopped
    Then within 3 s its end is interrupted
    And the worker refuses a late copy of its start

  Scenario: an answer of an earlier boot does not move the later one's clock
    Given a seat whose worker answers starts only later
    When an attempt is ordered
    And a new boot of the worker reports before the answer comes
    Then deadlines are given on the clock of the new boot

  Scenario: a worker that has just started again may be held by the old clock
    Given a seat whose worker runs nothing
    When a new boot of the worker reports, and it falls silent
    Then its end is not reported for 8 s, and is within 13 s

  Scenario: a restarted agent reports as ended what its worker still runs
    Given a worker that runs an attempt of an earlier agent
    When a seat follows a leader that grants no lease, and the worker falls silent
    Then its end is not reported for 8 s, and is within 13 s
