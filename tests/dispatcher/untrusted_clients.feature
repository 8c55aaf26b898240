@alone
Feature: Clients that keep to no limit end no dispatcher

  # Such clients took dispatchers out of memory: up to 1 MiB was held for each
  # of 1,024 connections, and the kernel held what had not been read.
  Scenario Outline: 320 clients <behave> at the <door> port
    Given a dispatcher with 96 MB and 500 descriptors
    When 320 clients <behave> at its <door> port
    Then the dispatcher lives
    And its memory and what the kernel holds for it stayed below 96 MB
    And it had at most 300 descriptors open
    And an ordinary job is completed

    Examples:
      | door    | behave                                                 |
      | http    | announce bodies over the limit                         |
      | http    | send bodies over the limit in chunks                   |
      | http    | send bodies inside the limit and leave them unfinished |
      | http    | ask for leave to send bodies over the limit            |
      | http    | send headers without end                               |
      | http    | stay silent                                            |
      | http    | never read their answers                               |
      | http    | send many requests at once                             |
      | http    | send bodies that are costly to decode                  |
      | http    | send bodies in tiny chunks                             |
      | http    | send many headers                                      |
      | peer    | leave frames of 2 MiB unfinished                       |
      | peer    | leave first frames unfinished                          |
      | peer    | stay silent                                            |
      | ready   | announce bodies over the limit                         |
      | metrics | announce bodies over the limit                         |
      | metrics | stay silent                                            |

  Scenario: an open connection follows the limits that operators set
    Given a dispatcher with 96 MB and 500 descriptors
    When a client is answered, and the operators lower maxBodyBytes to 100
    Then a body of 101 bytes on the same connection is answered with 413
