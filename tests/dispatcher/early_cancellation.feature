@rows
Feature: A job that was cancelled while it was on its way never runs

  # A front that woke up after 4 s had a job accepted that its caller had
  # cancelled at another front, which had answered that there is no such job.
  Scenario Outline: a front wakes up with a cancelled submission, and <event>
    Given a platform site of 3 dispatchers
    When a submission waits at a front that is frozen
    And its caller leaves, and cancels the job at another front
    And the platform site has this event: <event>
    And the frozen front wakes up
    Then no task of the job starts within 4 s
    And a retry of the submission is refused

    Examples:
      | event                       |
      | nothing                     |
      | the leader is killed        |
      | the leader is stopped       |
      | the other fronts are killed |
