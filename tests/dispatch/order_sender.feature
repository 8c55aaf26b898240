Feature: Start orders are sent to VMs that hold a lease

  Scenario Outline: a VM whose lease has <state> is sent <sent> order
    Given a VM whose lease has <state>
    When a task is assigned to it
    Then it is sent <sent> order

    Examples:
      | state   | sent |
      | expired | 0    |
      | started | 1    |

  Scenario: a task whose order was not sent is not kept waiting for it
    Given a VM whose lease has expired
    When a task is assigned to it
    And its agent reports no tasks before the VM is taken for lost
    Then the end of the task is noticed

  Scenario: an introduction does not end what an earlier leader may grant
    Given a VM that an earlier leader may grant leases for 0.4 s
    When a task of it is on record and its introduction gets no answer
    Then its task is not given up within 0.4 s

  # Orders were sent to zones that had been taken out while they waited for the
  # link, and a withdrawn one was only noticed with the VM's next report.
  Scenario Outline: an order that waits for the <place> is withdrawn when <change>
    Given a VM whose lease has started
    When a task is assigned to it on a full <place>, and then <change>
    Then it is sent 0 order
    And its end is reported as not_run

    Examples:
      | place      | change                        |
      | link       | its zone is taken out         |
      | link       | it drains                     |
      | link       | its worker starts again       |
      | link       | its agent introduces it again |
      | link       | the workflow is cancelled     |
      | connection | its zone is taken out         |
      | connection | it drains                     |
      | connection | its worker starts again       |
      | connection | its agent introduces it again |
      | connection | the workflow is cancelled     |

  # Its task waited until the VM reported again, or was taken for lost.
  Scenario Outline: a task is placed again when its VM <change> before the order
    Given a VM whose lease has started
    When it <change>, and a task is assigned to it
    Then it is sent 0 order
    And its end is reported as not_run

    Examples:
      | change       |
      | disconnects  |
      | starts again |
