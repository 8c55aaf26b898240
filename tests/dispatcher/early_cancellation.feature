@rows
Feature: A job that was cancelled while it was on its way never runs

  # A front that woke up after 4 s had a job accepted that its caller had
  # cancelled at another front, which had answered that there is no such job.
  # A front that sees that the caller has left drops the submission; where it
  # has not left, the cancellation is on record.
  Scenario Outline: a front wakes up with a cancelled submission, and <event>
    Given a platform site of 3 dispatchers
    When a submission waits at a front that is frozen
    And its caller <stays>, and cancels the job at another front
    And the platform site has this event: <event>
    And the frozen front wakes up
    Then no task of the job starts within 4 s
    And the frozen front has logged <line>
    And a retry of the submission is refused

    Examples:
      | event                       | stays  | line              |
      | nothing                     | leaves | request_abandoned |
      | nothing                     | stays  | submission_failed |
      | the leader is killed        | stays  | submission_failed |
      | the leader is stopped       | stays  | submission_failed |
      | the other fronts are killed | stays  | submission_failed |
