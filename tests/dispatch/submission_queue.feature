Feature: Submissions are recorded in entries of bounded size

  Scenario: an entry of many submissions does not fill a slow link
    Given a submission queue for entries of 60000 bytes
    When 40 workflows of 4000 bytes each are submitted
    Then no entry takes more than 64000 bytes of them
    And the entries take all 40 of them, in the order of submission

  Scenario: a gang that no entry can hold is refused at once
    Given a submission queue for entries of 60000 bytes
    When a workflow with a gang of 2001 tasks is submitted
    Then it is refused, and no entry takes it

  Scenario: a workflow that is larger than an entry gets one of its own
    Given a submission queue for entries of 3000 bytes
    When 3 workflows of 4000 bytes each are submitted
    Then each entry takes 1 of them
