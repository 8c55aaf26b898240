Feature: Processes are known by keys that end with them

  Background:
    Given a registered scheduler

  Scenario: a member that dies is gone within 4 s
    When it stops renewing
    Then it is a member no longer within 4 s

  Scenario: a member whose lease was lost comes back with its shards
    When it has taken shard 0
    And all leases of the store lapse
    Then within 2 s it is a member again and owns shard 0

  Scenario: a member whose keys were lost under a living lease comes back
    When it has taken shard 0
    And the store loses its keys, but not its lease
    Then within 2 s it is a member again and owns shard 0

  Scenario: a shard is taken by one
    When it has taken shard 0
    Then another cannot take shard 0
    When it releases shard 0
    Then another can take shard 0

  Scenario: an outage changes nothing of what is known
    When the members are read and the store goes away
    Then the members that were read are still known
