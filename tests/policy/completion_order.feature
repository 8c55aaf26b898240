Feature: In an overload the workflows that can end in time go first

  By deadline, every workflow of a queue that wants more than its processors
  can do ends late.

  Scenario: with enough room the order is that of deadlines
    Given 200 open workflows of random sizes and ages
    When there is room for all of them
    Then they are ranked as by deadline

  Scenario Outline: a queue beyond its capacity for 60 s
    When queues at <load> times their capacity are played with estimates off by nine tenths
    Then at least <more> of the workflows more end in time than by deadline
    And callers get at least <gain> of the worth of all more than by deadline
    And no more workflows are begun and not done than by deadline
    And the largest tenth and the fifth below it get at least <share> of their queue's share

    Examples:
      | load | more | gain | share |
      | 1.5  | 0.05 | 0.1  | 0.5   |
      | 2.5  | 0.05 | 0.1  | 0.5   |

  Scenario: an overload ends
    Given workflows whose work exceeds the room
    When some of them are done and the rest fits
    Then they are ranked as by deadline after 3 s

  Scenario: a begun workflow keeps its place before slightly smaller ones
    Given workflows whose work exceeds the room
    When one of them has begun
    Then it goes before those that are of half its worth per work more

  Scenario: priorities and standing workflows come first in an overload
    Given workflows whose work exceeds the room
    And a standing workflow and one of a higher priority
    Then the one of a higher priority is first and the standing one second

  Scenario: expired workflows are done one at a time
    Given workflows whose work exceeds the room
    When two of them are expired for long
    Then the older one goes first and the other one last

  Scenario Outline: tasks that are paced down leave less room than processors
    Given tasks that hold 100 processors and do <share> of their work in time
    When they have run for 20 s
    Then <seen> of the room is counted on

    Examples:
      | share | seen |
      | 1     | 1    |
      | 0.4   | 0.4  |
      | 0     | 0.1  |

  Scenario: the first tasks of a burst are not taken for slow ones
    Given tasks that hold 100 processors and do 0 of their work in time
    When they have run for 6 s
    Then 1 of the room is counted on

  Scenario Outline: an overload shows although processors seem to be idle
    Given 20 workflows whose tasks are all assigned, with room for twice as many
    When none of them is done within <seconds> s
    Then this is <taken> for an overload

    Examples:
      | seconds | taken     |
      | 5       | not taken |
      | 50      | taken     |

  Scenario: tasks that run for long at full pace are not taken for slow ones
    Given 10 workflows of 20 tasks of 60 s on 200 of 1000 processors
    Then no overload is seen in the 60 s in which they run

  Scenario: a clock that is set back delays no expired workflow
    Given workflows whose work exceeds the room
    When two of them are expired for long
    And the first one is done and the clock is set back by 20 s
    Then the other one goes first

  Scenario: a clock that is set back leaves no pace of later times
    Given tasks that hold 100 processors and do 1 of their work in time
    When they have run for 20 s
    And the clock is set back by 60 s and they do 0.4 for 40 s
    Then 0.4 of the room is counted on

  Scenario: in an overload the agents' order is that of the workflows
    Given workflows whose work exceeds the room
    When the tasks of all of them run and are ranked by class and work left
    Then they have the order of the workflows
