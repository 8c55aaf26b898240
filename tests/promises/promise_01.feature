@promise_1
Feature: No VM is ever given more work than it can hold

  @faults
  Scenario Outline: promise 1 under: <fault>
    When a site works under: <fault>
    Then no VM exceeded its capacity

    Examples: faults
      | fault                              |
      | nothing                            |
      | agent killed                       |
      | agent frozen past its lease        |
      | VM dies and is replaced            |
      | VM dies and stays away             |
      | rack dies                          |
      | two agents on one VM               |
      | owner killed                       |
      | owner frozen past its lease        |
      | entry killed                       |
      | entry frozen                       |
      | everything killed                  |
      | silent to schedulers               |
      | silent towards schedulers only     |
      | silent from schedulers only        |
      | silent to entries                  |
      | silent towards entries only        |
      | silent to the store                |
      | silent to workers                  |
      | silent to targets                  |
      | callers cut                        |
      | targets cut                        |
      | targets cross answers              |
      | store down                         |
      | store down past the grace          |
      | store slow                         |
      | store loses answers                |
      | store restored with older content  |
      | leases of the store lapse          |
      | worker fails everything            |
      | checkpoints refused                |
      | zone out and in                    |
      | owner killed, VM dies              |
      | owner killed, store down           |
      | agent killed, silent to schedulers |
      | entry killed, agent killed         |
      | owner killed twice                 |
      | agent killed twice                 |
      | store loses answers, owner frozen  |
