@alone
Feature: Clients that keep to no limit end no agent

  # The port for reports of workers buffered up to 1 MiB for each of 1,024
  # connections on a VM where the agent has 168 MB.
  Scenario Outline: 320 clients <behave> at the <door> port
    Given an agent with 96 MB and 500 descriptors
    When 320 clients <behave> at its <door> port
    Then the agent lives
    And its memory and what the kernel holds for it stayed below 96 MB
    And it had at most 300 descriptors open
    And an ordinary report to the agent is answered
    And an ordinary job is completed

    Examples:
      | door    | behave                                |
      | reports | announce bodies over the limit        |
      | reports | send bodies over the limit in chunks  |
      | reports | stay silent                           |
      | metrics | announce bodies over the limit        |
