Feature: Callers of different queues may choose the same identity

  # The second job was answered as accepted, never ran, and was shown as
  # completed; either caller's cancellation ended the first job.
  Scenario: a job is shown, cancelled and answered for at its own queue only
    Given a platform site with the queues jobs and bills
    When a job is accepted by queue jobs
    Then the same identity is refused by queue bills, with a reason
    And queue bills answers its state and its cancellation with 410
    And the job of queue jobs is completed
    And queue bills accepts the job under another identity
