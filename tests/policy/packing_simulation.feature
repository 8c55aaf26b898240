Feature: Serving tasks leave whole VMs to heavy best-effort tasks

  Jobs of serving tasks are submitted one after the other to 11 VMs of 64 and
  96 processors. Half of the jobs limit how many of their tasks share a VM.

  Scenario Outline: jobs that limit their tasks per VM spread over all VMs
    When <jobs> serving jobs are placed on each of 200 sites
    Then at least a tenth more processors are left on VMs without serving tasks than by the tightest fit
    And no more tasks wait for a VM than by the tightest fit

    Examples: reserved processors are 0.5 to 0.75 of all
      | jobs |
      | 6    |
      | 7    |
      | 8    |
