Feature: Processes register under leases that expire with them

  Background:
    Given a registered scheduler

  Scenario: a member that stops is removed within 4 s
    When it stops renewing its lease
    Then it is no longer a member within 4 s

  Scenario: a member registers again with its shards after its lease is lost
    When it has acquired shard 0
    And all leases of the store expire
    Then within 2 s it is a member again and owns shard 0

  Scenario: a member registers again after its keys are lost but not its lease
    When it has acquired shard 0
    And the store loses its keys but not its lease
    Then within 2 s it is a member again and owns shard 0

  Scenario: only one member can acquire a shard
    When it has acquired shard 0
    Then another member cannot acquire shard 0
    When it releases shard 0
    Then another member can acquire shard 0

  Scenario: members stay known while the store is unavailable
    When the members are read and the store becomes unavailable
    Then the members that were read are still known
