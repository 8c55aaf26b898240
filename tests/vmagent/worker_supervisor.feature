Feature: The workflow agent reports correctly what became of attempts

  Scenario: a start without an answer is retried
    Given a supervisor whose worker loses the answers to 2 starts
    When an attempt is ordered
    Then within 2 s it runs, was started once, and no end is reported

  Scenario: a refused start is reported as not run
    Given a supervisor whose worker has no free capacity
    When an attempt is ordered
    Then within 2 s its end is not_run

  Scenario: a start without an answer is forbidden before it is given up
    Given a supervisor whose worker loses the answer to 1 start and then has no free capacity
    When an attempt is ordered
    Then within 3 s its end is not_run
    And the worker has been told to refuse it

  Scenario: an attempt that ran unnoticed is not reported as not run
    Given a supervisor whose worker loses the answers to 30 starts
    When an attempt is ordered, and polls go unanswered as well
    And the agent gives it up, and polls are answered again
    Then within 2 s its end is interrupted

  Scenario Outline: ends that the worker lists
    Given a supervisor whose worker runs an attempt
    When the worker lists it as <how>
    Then within 2 s its end is <kind>
    And the worker may forget it only once the end is on record

    Examples:
      | how     | kind        |
      | done    | done        |
      | failed  | failed      |
      | lapsed  | interrupted |
      | stopped | interrupted |

  Scenario: a new agent finds the running attempts before it reports
    Given a worker that runs an attempt of an earlier agent
    When a supervisor follows a leader
    Then within 2 s the supervisor lists that attempt

  Scenario: a restarted agent settles ends after those of the earlier agent
    Given a worker whose first 57 ends were settled by an earlier agent
    When a supervisor follows a leader
    And two attempts end and are put on record
    Then within 2 s all 59 ends are settled at the worker
    And the supervisor polls at most 10 times in 1 s

  Scenario: a best-effort task that an earlier agent paused is resumed
    Given a worker that runs an attempt of an earlier agent, which has paused it
    When a supervisor follows a leader
    And the leader sends the order, which marks the attempt as best-effort
    Then within 2 s the pace of the attempt is 100 percent

  Scenario: the attempts of an unreachable worker end after its last deadline
    Given a supervisor whose worker runs an attempt
    When the worker stops answering
    Then its end is not reported before its last deadline
    And within 7 s its end is interrupted

  Scenario: the leader is told that a worker is silent, and that it answers
    Given a supervisor whose worker runs nothing
    When the worker stops answering
    Then within 1 s its VM is reported as silent
    When the worker is reachable again
    Then within 1 s its VM is reported as answering

  Scenario: the leader is told that a silent worker has been replaced
    Given a supervisor whose worker runs nothing
    When the worker stops answering
    Then within 1 s its VM is reported as silent
    When a new boot of the worker reports
    Then within 0.1 s its VM is reported as answering

  Scenario: a worker that leaves a poll or two unanswered is not silent
    Given a supervisor whose worker runs nothing
    When the worker leaves polls unanswered for 0.15 s at a time, for 2 s
    Then its VM was never reported as silent

  Scenario: a report of a new boot ends the attempts of the previous one
    Given a supervisor whose worker runs an attempt
    When a new boot of the worker reports
    Then within 1 s its end is interrupted

  Scenario: a list of a new boot ends the attempts of the previous one
    Given a supervisor whose worker runs an attempt
    When the worker restarts without a report
    Then no end of the new boot is settled

  Scenario: a start on an unnoticed new boot is stopped before it is ended
    Given a supervisor whose worker runs nothing
    When the worker restarts, and an attempt is ordered at once
    Then within 3 s its end is interrupted
    And the worker refuses a late copy of its start

  Scenario: a start without an answer is refused by a new boot before its end
    Given a supervisor whose worker loses the answer to 1 start
    When an attempt is ordered, and the worker lists it
    And a new boot of the worker reports
    Then within 3 s its end is interrupted
    And the worker refuses a late copy of its start

  Scenario: a poll of the worker before does not retire the one that follows
    Given a supervisor whose worker runs an attempt
    When another worker reports from its address, and then answers its poll
    Then within 1 s its end is interrupted
    And within 2 s an attempt that is ordered runs on the other worker

  Scenario: an order for an earlier boot is refused
    Given a supervisor whose worker runs nothing
    When a new boot of the worker reports
    And an attempt is ordered for the earlier boot
    Then within 1 s its end is not_run

  Scenario: an order for a draining worker is refused
    Given a supervisor whose worker runs nothing
    When the worker reports that it is draining
    And an attempt is ordered
    Then within 1 s its end is not_run

  Scenario: an order that is based on an old clock is refused
    Given a supervisor whose worker runs nothing
    When an attempt is ordered on a clock 4000 ms old
    Then within 1 s its end is not_run

  Scenario: an attempt is stopped while its start is in flight
    Given a supervisor whose worker loses the answers to 30 starts
    When an attempt is ordered
    And its stop is ordered
    Then within 3 s its end is interrupted
    And the worker refuses a late copy of its start

  Scenario: a late answer of the previous boot does not change the clock
    Given a supervisor whose worker delays the answers to starts
    When an attempt is ordered
    And a new boot of the worker reports before the answer arrives
    Then deadlines are on the clock of the new boot

  Scenario: a restarted worker may be held by a deadline of its previous boot
    Given a supervisor whose worker runs nothing
    When a new boot of the worker reports, and it stops answering
    Then its end is reported after 8 s and within 13 s

  Scenario: a worker may be held by a deadline of an earlier agent
    Given a worker that runs an attempt of an earlier agent
    When a supervisor follows a leader that grants no lease, and the worker stops answering
    Then its end is reported after 8 s and within 13 s

  Scenario: an older token that is handled late does not lock out the agent
    Given a supervisor whose worker runs nothing
    When it is given the tokens 9 and 8, in this order
    Then within 2 s it has listed its worker under token 9

  Scenario: the same token again does not make an agent list its worker again
    Given a supervisor whose worker runs nothing
    When it is given its token again
    Then it has still listed its worker

  # Done tasks ran again: a full list of ends left out some of them, which the
  # agent took for interruptions.
  Scenario: ends that a full list leaves out are no interruptions
    Given a supervisor of 5 attempts whose worker lists 2 ends at a time
    When all 5 are done before an end is on record
    Then no end but done is reported within 1 s
    When each reported end is put on record
    Then within 3 s all 5 were reported as done

  # After a restart of the agent, ends beyond the list are known to nobody else.
  Scenario Outline: a full list does not show all attempts to a new agent
    Given a worker with <count> ends of an earlier agent that lists 2 at a time
    When a supervisor follows a leader and may not know all ends
    Then it reports ends, and not that this is all
    When each reported end is put on record
    Then within 3 s all <count> were reported as done
    And it reports that this is all

    Examples:
      | count |
      | 2     |
      | 5     |
