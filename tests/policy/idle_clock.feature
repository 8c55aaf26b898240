Feature: How long a workflow has been idle

  Scenario: a standing task waits on while others of its workflow end
    Given a standing workflow of 2 tasks, of which VMs admit one
    When that one ends and is placed again each 0.5 s for 3 s
    Then the workflow has been idle for 3 s

  Scenario: an end before the first round does not shorten a wait
    Given a workflow that was accepted 3 s before a new leader
    When an attempt of it ends before the first round
    Then the workflow has been idle for 3 s

  Scenario: what ended workflows leave behind is dropped
    Given a standing workflow of 2 tasks, of which VMs admit one
    When that one ends and is placed again each 0.5 s for 3 s
    And no workflow is open any more
    Then nothing is held of it
