Feature: Only workflows whose results would be worth nothing are refused

  A result is worth nothing after three times its objective. A workflow that
  can only end later keeps processors from those that could end in time.

  Scenario Outline: a queue beyond its capacity for 60 s, with and without refusals
    Given run times that are learned <known>
    When a queue at <load> times its capacity is played with and without refusals
    Then from <least> to <most> of the workflows are refused
    And callers get at most 0.02 of the worth less than without refusals
    And at most 0.03 of the workflows less are served than without refusals
    And no more workflows are accepted for nothing than without refusals

    Examples:
      | known        | load | least | most |
      | well         | 0.9  | 0     | 0    |
      | well         | 1.5  | 0     | 0.1  |
      | well         | 2.5  | 0.01  | 0.2  |
      | not at all   | 2.5  | 0     | 0    |

  Scenario: predictions that are wrong close no queue
    Given run times that are learned ten times too long
    When a queue at 0.7 times its capacity is played with and without refusals
    Then from 0 to 0.02 of the workflows are refused
    When a queue at 2.5 times its capacity is played with and without refusals
    Then from 0 to 0.5 of the workflows are refused

  Scenario: refusals end with the overload
    Given run times that are learned well
    When a burst of 4 times the capacity for 30 s is followed by calm
    Then some of the burst and none of the calm is refused
    And 0.9 of the workflows of the calm end in time

  Scenario: refused callers return in turn
    When 8 workflows are refused at the same time
    Then their callers are asked to return at rising times of 30 s at most

  Scenario: a known workflow is never refused
    Given an admission control that refuses everything
    When a recorded workflow and a new one are submitted
    Then the recorded one is found and the new one is refused for 7 s
    And the new one is not to be recorded

  Scenario Outline: room for a first task is what the planner starts it with
    Given 640 VMs with 5 of 64 processors idle
    When a workflow of 1000 first tasks of 7 processors is submitted, <kind>
    Then it is <taken> to find room, after at most 640 looks at a VM

    Examples:
      | kind             | taken     |
      | best-effort      | taken     |
      | reserving theirs | not taken |

  Scenario: a workflow of many different first steps is answered soon
    Given 640 VMs with 0 of 64 processors idle
    When a workflow of 1000 first tasks of different needs is submitted
    Then it is not taken to find room, after at most 10240 looks at a VM

  Scenario: a clock that is set back leaves no rates of later times
    Given a backlog that has been followed for 20 s
    When the clock is set back by 60 s for 11 s
    Then its rates cover a whole window, and none of what was done before
