Feature: Appending to the log commits an entry and fences old leaders

  Scenario: a new leader recovers the entries of its predecessor
    Given a log that A leads with 3 workflows
    When B claims the log
    Then B has 3 workflows and epoch 2
    And an append by A is fenced
    And a confirmation by A is fenced

  Scenario: a key of another writer among the entries is skipped
    Given a log that A leads with 3 workflows
    When another writer adds a key among the entries
    And B claims the log
    Then B has 3 workflows and epoch 2

  Scenario: only one of two concurrent claims succeeds
    Given a log without a leader
    When A and B claim it concurrently
    Then exactly one of them leads

  Scenario: a claim based on a stale version of the leader's key is refused
    Given a log that A leads with 0 workflows
    When B claims it as if the leader's key were absent
    Then the claim of B is refused

  Scenario: an append whose answer is lost is resolved by reading it back
    Given a log that A leads with 1 workflow
    When the store's answer to an append by A is lost
    Then A's append succeeds and is in the log once

  Scenario: a delayed append has no effect after another leader's claim
    Given a log that A leads with 1 workflow
    When A's next append reaches the store only after B has claimed the log
    Then an append by A is fenced
    And B's state lacks that workflow, now and when it is read again

  Scenario: an append that the store refuses for good is not repeated
    Given a log that A leads with 1 workflow
    When the store refuses the next append by A for its size
    Then that append fails after one call, and event entry_refused names it

  Scenario: a snapshot replaces the entries, and the old leader stays fenced
    Given a log that A leads with 5 workflows
    When B claims the log
    And B takes a snapshot
    And B appends 1 workflow
    Then the store holds 1 log entry
    And an append by A is fenced
    And C recovers 6 workflows

  # A leader that was well gave up its leadership after a snapshot of its own.
  Scenario Outline: <call> is not fenced by the leader's own snapshot
    Given a log that A leads with 3 workflows
    When A takes a snapshot whose last answer is late, beside <call>
    Then A is not fenced
    And an append by A is not fenced

    Examples:
      | call                      |
      | a confirmation            |
      | a write of learned values |

  Scenario Outline: <call> is fenced by another leader during a snapshot
    Given a log that A leads with 3 workflows
    When B claims the log before A takes a snapshot beside <call>
    Then A is fenced

    Examples:
      | call                      |
      | a confirmation            |
      | a write of learned values |

  Scenario: a leader knows the last two leaders, also after a snapshot
    Given a log that A leads with 1 workflow
    When B claims the log
    And B takes a snapshot
    And C claims the log
    Then the leaders before C were B and A

  Scenario: the log grows no longer than a weak link can read in a second
    Given a log that A leads with 0 workflows
    When A appends 4 large workflows
    Then A needs no snapshot
    When A appends 2 large workflows
    Then A needs a snapshot
    When A takes a snapshot
    Then A needs no snapshot

  Scenario: a snapshot becomes due once the entries are as large as the last one
    Given a log that A leads with 0 workflows
    When A appends 8 large workflows
    And A takes a snapshot
    And A appends 7 large workflows
    Then A needs no snapshot
    When A appends 2 large workflows
    Then A needs a snapshot

  Scenario: a leader that finds a long log needs a snapshot at once
    Given a log that A leads with 0 workflows
    When A appends 6 large workflows
    And B claims the log
    Then B needs a snapshot

  Scenario: a log of many small entries needs a snapshot
    Given a log that A leads with 0 workflows
    When B claims a log of 3000 entries that cancel nothing
    Then B needs a snapshot

  Scenario: the keys that a snapshot replaced are removed by the next leader
    Given a log that A leads with 70 workflows
    When A takes a snapshot
    And B claims the log
    And B appends 3 workflows
    Then the store holds 3 log entries
    And C recovers 73 workflows

  Scenario: a new leader does not read entries that a snapshot has replaced
    Given a log that A leads with 70 workflows
    When A takes a snapshot
    And A appends 1 workflow
    And B claims the log
    Then 1 log entry was listed

  Scenario: keys that two snapshots replaced are removed by the next leader
    Given a log that A leads with 70 workflows
    When A takes a snapshot
    And A appends 1 workflow
    And A takes a snapshot
    And B claims the log
    And B appends 3 workflows
    Then the store holds 3 log entries
    And C recovers 74 workflows

  Scenario: chunks of a snapshot whose leader died are removed by the next one
    Given a log that A leads with 0 workflows
    When A appends 24 large workflows
    And A writes a snapshot, but not its head
    And B claims the log
    And B appends 2 workflows
    Then the store holds no chunk but those of the last snapshot
    And C recovers 26 workflows

  Scenario: chunks of a snapshot that failed are removed after the next one
    Given a log that A leads with 0 workflows
    When A appends 24 large workflows
    And A writes a snapshot, but not its head
    And A appends 2 large workflows
    And A takes a snapshot
    And A appends 3 large workflows
    Then the store holds no chunk but those of the last snapshot
    And C recovers 29 workflows

  Scenario: chunks of a replaced snapshot are removed by the next leader
    Given a log that A leads with 0 workflows
    When A appends 24 large workflows
    And A takes a snapshot
    And A appends 24 large workflows
    And A takes a snapshot
    And B claims the log
    And B appends 3 workflows
    Then the store holds no chunk but those of the last snapshot
    And C recovers 51 workflows

  Scenario: a late write of a snapshot that failed does not change the next one
    Given a log that A leads with 0 workflows
    When A appends 400 workflows that have ended, and 24 large ones
    And A writes a snapshot, but not its head
    And A takes a snapshot when that one is forgotten, and a late write arrives
    Then the 24 large ones are recovered by C

  Scenario: keys replaced by a snapshot of an earlier version are removed
    Given a log that A leads with 70 workflows
    When A takes a snapshot, with a head as earlier versions wrote it
    And B claims the log
    And B appends 3 workflows
    Then the store holds 3 log entries
    And C recovers 73 workflows

  Scenario: a leader that resigns removes its key and hands over its leases
    Given a log that A leads with 0 workflows
    When A resigns as the leader
    Then the leader's key is absent
    And B inherits the leases of A when it claims the log
    And C inherits no leases when it claims the log afterwards

  # Until a site has been replaced machine by machine, a leader of an earlier
  # build may go on granting leases for its grace period after a claim.
  Scenario Outline: <head>, so that a grace period of <grace_s> s counts
    Given a log with a grace period of 0.4 s that A leads
    When <head>
    And B claims the log
    Then leases of earlier leaders begin up to <grace_s> s after the claim of B

    Examples:
      | head                                                      | grace_s |
      | A has written the head                                    | 0       |
      | an earlier build has written the head                     | 0.4     |
      | an earlier build has, and C has claimed the log           | 0.4     |
      | an earlier build has, and C has taken a snapshot at once  | 0.4     |
      | an earlier build has, and C has taken one 0.5 s later     | 0       |

  Scenario: entries and snapshots are compressed on record
    Given a log that A leads with 0 workflows
    When A appends 40 workflows in one entry
    And A takes a snapshot
    And A appends 40 workflows in one entry
    Then the log takes less than a fifth of its size before compression
    And C recovers 80 workflows

  Scenario: a log of an earlier version, which did not compress, is recovered
    Given a log that A leads with 0 workflows
    When A appends 40 workflows in one entry
    And A takes a snapshot
    And A appends 40 workflows in one entry
    And the log is as an earlier version wrote it
    Then C recovers 80 workflows

  Scenario: the earlier version reads a log that is written uncompressed
    Given a log that A leads with 0 workflows
    When later leaders do not compress what they write
    And B claims the log
    And B appends 400 workflows in one entry
    And B takes a snapshot
    And B appends 40 workflows in one entry
    Then the earlier version recovers 440 workflows
    And C recovers 440 workflows

  Scenario Outline: a leader that writes uncompressed replaces <part> that is not
    Given a log that A leads with 0 workflows
    When A appends 40 workflows in one entry
    And A <action>
    And later leaders do not compress what they write
    And B claims the log
    Then B needs a snapshot
    When B takes a snapshot
    Then B needs no snapshot
    And the earlier version recovers <count> workflows
    And C recovers <count> workflows

    Examples:
      | part     | action                    | count |
      | an entry | appends 3 large workflows | 43    |
      | a chunk  | takes a snapshot          | 40    |

  Scenario Outline: a log of which <part> is <damage> is not led
    Given a log that A leads with 0 workflows
    When A appends 40 workflows in one entry
    And A takes a snapshot
    And A appends 40 workflows in one entry
    And <part> is <damage>
    Then the claim of C fails because of a corrupt record

    Examples:
      | part      | damage                    |
      | an entry  | cut short                 |
      | a chunk   | cut short                 |
      | an entry  | 20 MB before compression  |
      | a chunk   | 20 MB before compression  |

  Scenario: a new leader logs how large the log was that it has read
    Given a log that A leads with 3 workflows
    When A takes a snapshot
    And A appends 2 workflows
    And B claims the log
    Then event log_read names 2 entries, 1 chunk and their sizes

  Scenario: a weak link does not keep a new leader from a snapshot in chunks
    Given a log that A leads with 0 workflows
    When A appends 24 large workflows
    And A takes a snapshot
    And the link of later leaders to the store has 2 Mbit/s
    And B claims the log
    Then B has 24 workflows and epoch 2

  Scenario: the transfer of a snapshot does not delay the proof of leadership
    Given a log that A leads with 0 workflows
    When A appends 24 large workflows
    And the link of later leaders to the store has 2 Mbit/s
    And B claims the log
    And B takes a snapshot while it confirms its leadership regularly
    Then no confirmation of B went without an answer
