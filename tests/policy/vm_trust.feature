Feature: VMs that are slow, fail tasks or are lost get tasks last

  Load: some VMs run at a fraction of their speed for seconds, some fail part
  of their tasks, some are lost and come back. The earlier decision, which
  trusts all VMs alike, is the baseline.

  Scenario Outline: steps on 30 VMs, <faulty> of which <fault>
    When a step of 20 tasks of 3 s comes each half second for 30 s to 30 VMs, <faulty> of which <fault>
    Then the mean step takes at most <share> of its time without trust
    And no task waits 3 s, and faulty VMs get some tasks, but fewer

    Examples:
      | faulty | fault                           | share |
      | 3      | run at a quarter of their speed | 0.7   |
      | 3      | do so for 8 s out of 16         | 0.95  |
      | 3      | fail 3 tasks of 10              | 0.92  |
      | 0      | are faulty                      | 1.0   |

  Scenario Outline: a VM of which is known: <history>
    Then a VM with the history "<history>" is <rating>

    Examples: relative speeds of its tasks, failures, ends, losses, seconds of waiting
      | history                  | rating   |
      | nothing                  | trusted  |
      | 0.5                      | trusted  |
      | 0.67 0.67 0.67 0.67      | trusted  |
      | 0.25 0.25                | doubtful |
      | 0.25 0.25 wait4          | probed   |
      | 0.25 0.25 wait16         | probed   |
      | 0.25 0.25 wait31         | trusted  |
      | 0.25 0.25 1 1            | probed   |
      | 0.25 0.25 1 1 1          | trusted  |
      | fail                     | probed   |
      | fail fail                | doubtful |
      | fail fail done done done | probed |
      | loss                     | probed   |
      | loss wait15 loss         | doubtful |
      | loss wait15 loss wait180 | trusted  |

  Scenario Outline: <slow> doubtful VMs of a pool of <size>
    Then <left> of <size> VMs have less than full trust if <slow> are doubtful

    Examples: a cause that many share is none of theirs
      | size | slow | left |
      | 30   | 10   | 10   |
      | 30   | 11   | 0    |
      | 2    | 1    | 1    |
      | 2    | 2    | 0    |
      | 1    | 1    | 0    |

  Scenario Outline: a step of <count> <kind> tasks, with room on <vms>
    When a step of <count> <kind> tasks is placed after 0, 250 and 500 ms, with <vms>
    Then those VMs get <numbers> tasks then

    Examples: half of a step waits half a second, a probed VM gets one task
      | count | kind     | vms                               | numbers |
      | 8     | finite   | 2 doubtful VMs of 0.2 and 0 other | 4 0 4   |
      | 1     | finite   | 2 doubtful VMs of 0.2 and 0 other | 0 0 1   |
      | 4     | gang     | 2 doubtful VMs of 0.2 and 0 other | 0 0 4   |
      | 8     | standing | 2 doubtful VMs of 0.2 and 0 other | 8 0 0   |
      | 8     | finite   | 2 doubtful VMs of 0.2 and 1 other | 0 0 0   |
      | 20    | finite   | 1 doubtful VMs of 0.6 and 5 other | 1 0 0   |
      | 48    | finite   | 1 doubtful VMs of 0.6 and 5 other | 3 0 0   |
      | 20    | standing | 1 doubtful VMs of 0.6 and 5 other | 0 0 0   |

  Scenario: a clock that is set back holds no step longer
    Given a step of 10 tasks that is held back from doubtful VMs
    When the clock is set back by 60 s
    Then the step is held for 500 ms at most
