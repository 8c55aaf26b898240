Feature: A gang has failed an attempt once any of its members has

  # A gang with two attempts was shown as failed after one, as two members of
  # it had failed in that one.
  Scenario Outline: the members that fail in one attempt count once
    Given a gang of 3 tasks with 2 attempts
    When the gang runs
    And attempt 1 ends failed for members 1 and 2 <how>
    Then the workflow is running
    And the gang may start again
    When the gang runs
    And attempt 2 ends failed for member 0
    Then the workflow is failed

    Examples:
      | how                         |
      | in one entry                |
      | in two entries              |
      | in two entries, in reverse  |
      | in one entry, sent twice    |
      | before and after a snapshot |

  Scenario: every attempt of a gang with a failure counts
    Given a gang of 3 tasks with 3 attempts
    When the gang runs
    And attempt 1 ends failed for members 0 and 1 in one entry
    And the gang runs
    And attempt 2 ends interrupted for all members
    And the gang runs
    And attempt 3 ends failed for members 1 and 2 in one entry
    Then the workflow is running
    When the gang runs
    And attempt 4 ends failed for member 1
    Then the workflow is failed

  Scenario: the gangs of other occurrences count on their own
    Given a gang of 2 tasks with 2 attempts in 2 occurrences
    When the gang runs in occurrence 0
    And attempt 1 ends failed for member 0
    And the gang runs in occurrence 1
    And attempt 1 ends failed for member 1 in occurrence 1
    Then the workflow is running

  # Sites are replaced machine by machine, so that builds read each other's
  # records.
  Scenario: an earlier build reads the number of failed attempts
    Given a gang of 3 tasks with 4 attempts
    When the gang runs
    And attempt 1 ends failed for members 0 and 2 in one entry
    And the gang runs
    And attempt 2 ends failed for members 1 and 2 in one entry
    Then the failures of its members add up to 2

  Scenario Outline: an earlier build's count is limited to the ended attempts
    Given a gang of 3 tasks with 3 attempts
    And an earlier build has counted its failures as <counted> in <ended>
    When the gang runs
    And its next attempt ends failed for member 0
    Then the workflow is <phase>

    Examples:
      | counted | ended      | phase   |
      | 1, 1, 0 | 1 attempt  | running |
      | 1, 1, 0 | 2 attempts | failed  |
      | 1, 0, 0 | 2 attempts | running |

  # Three members had failed in one attempt; the interrupted one counted, too.
  Scenario: an earlier build's count leaves room for later attempts
    Given a gang of 3 tasks with 4 attempts
    And an earlier build has counted its failures as 1, 1, 1 in 1 attempt
    When the gang runs
    And attempt 2 ends interrupted for all members
    And the gang runs
    And attempt 3 ends failed for members 0 and 1 in one entry
    And the gang runs
    And attempt 4 ends failed for member 0
    Then the workflow is running

  Scenario: a failure that an earlier build has counted is not counted again
    Given a gang of 3 tasks with 2 attempts
    And an earlier build has counted the failure of member 0 in its attempt 1
    When attempt 1 ends failed for member 1
    Then the workflow is running

  Scenario: nothing is kept of the failures of a gang that is done
    Given a gang of 3 tasks with 2 attempts
    When the gang runs
    And attempt 1 ends failed for members 0 and 1 in one entry
    And the gang runs
    And attempt 2 ends done for member 2
    Then the workflow is completed
    And no failed attempts are on record

  # A start more than the limit allows, as the agent was away when its VM was
  # taken for lost.
  Scenario: a failure that is reported after the next assignment counts
    Given a gang of 3 tasks with 2 attempts
    When the gang runs
    And attempt 1 ends interrupted for all members
    And the gang runs
    And attempt 1 ends failed for member 2
    And attempt 1 ends failed for members 0 and 1 in one entry
    Then the workflow is running
    When attempt 2 ends failed for member 2
    Then the workflow is failed

  # The late failure of the first attempt was left out once the second one had
  # failed.
  Scenario Outline: a <kind> counts a late failure after that of the next attempt
    Given a <workflow> with 2 attempts
    When task 0.0.0 runs and ends interrupted
    And task 0.0.0 runs and ends failed
    Then the workflow is running
    When attempt 1 of 0.0.0 ends failed
    Then the workflow is failed

    Examples:
      | kind | workflow                       |
      | gang | gang of 1 tasks                |
      | task | workflow of steps a (1 task)   |

  Scenario: a failure that is reported late twice counts once
    Given a workflow of steps a (1 task) with 3 attempts
    When task 0.0.0 runs and ends interrupted
    And task 0.0.0 runs
    And attempt 1 of 0.0.0 ends failed
    And attempt 1 of 0.0.0 ends failed
    And attempt 2 of 0.0.0 ends failed
    And attempt 2 of 0.0.0 ends failed
    Then the workflow is running and its task may start: yes

  Scenario Outline: only failures of a task that goes on are counted late
    Given a workflow of steps a (1 task) with 1 attempts
    When task 0.0.0 runs and ends interrupted
    And <then>
    And attempt 1 of 0.0.0 ends <end>
    Then the workflow is <phase>

    Examples:
      | then                                  | end         | phase     |
      | task 0.0.0 runs                       | failed      | failed    |
      | task 0.0.0 runs                       | interrupted | running   |
      | task 0.0.0 runs                       | done        | running   |
      | task 0.0.0 runs and ends done         | failed      | completed |
      | the workflow is cancelled by its caller | failed    | cancelled |

  Scenario: a late failure that counts for nothing needs no entry
    Given a workflow of steps a (2 tasks)
    When task 0.0.0 runs and ends interrupted
    Then a late failure of task 0.0.0 needs an entry: no
    Given a workflow of steps a (2 tasks) with 2 attempts
    When task 0.0.0 runs and ends interrupted
    Then a late failure of task 0.0.0 needs an entry: yes
    When task 0.0.0 runs and ends done
    Then a late failure of task 0.0.0 needs an entry: no

  Scenario: a late failure that an earlier build may have counted is left out
    Given a gang of 3 tasks with 3 attempts
    And an earlier build has counted its failures as 1, 0, 0 in 2 attempts
    When attempt 2 ends failed for member 0
    And the gang runs
    And its next attempt ends failed for member 1
    Then the workflow is running

  # Two orders of the same ends gave different counts.
  Scenario: the count is that of the attempts with a failure, in any order
    Then it is in 300 random orders of ends, repeats, lost VMs and snapshots
