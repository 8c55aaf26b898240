Feature: The adapter only translates the platform's names and formats

  Scenario: keys of one transaction are read, listed and watched
    Given a store of the platform
    When two keys are written at once
    Then both are read with the same version
    And a listing of their prefix has them in order
    And a watch from the revision before returns both

  Scenario: a transaction whose expected versions differ changes nothing
    Given a store of the platform
    When a key is written that is expected to be absent, twice
    Then the second is a conflict, and the first value stands

  Scenario: a listing of many keys is read page by page
    Given a store of the platform
    When 1203 keys are written
    Then a listing of their prefix has all of them

  Scenario Outline: a transfer that proceeds on a slow link is not given up
    Given a store of the platform behind a link of 2 Mbit/s
    When <what> is transferred
    Then the transfer is complete

    Examples:
      | what                |
      | a listing of 1 MB   |
      | a value of 400 KB   |
      | a write of 400 KB   |

  Scenario: a small answer that trickles is given up like one that is missing
    Given a store of the platform whose answers trickle
    When a key is read
    Then the store counts as unavailable after 0.8 s to 2.5 s

  Scenario: a watch reports that its history was compacted
    Given a store of the platform
    When a key is written and the store compacts its history
    Then a watch from the revision before fails because of the compaction

  Scenario: a lease ends with its keys, and writes under it are refused
    Given a store of the platform
    When a key is written under a lease that ends
    Then the key is absent
    And another write under that lease is refused

  Scenario: a write that the store refuses for its content had no effect
    Given a store of the platform
    When a key is written with a value that is too large
    Then the write is refused for good

  Scenario Outline: a failed call states whether the write may take effect
    Given a store of the platform
    When a key is written while the store is <mode>
    Then the store counts as unavailable, and the write <effect> have taken effect

    Examples:
      | mode   | effect   |
      | busy   | can not  |
      | silent | may      |

  Scenario: the operators' documents are decoded into a site
    Given operators' keys with a queue, two zones out and a spare pool
    Then the site has that queue, both zones and that pool
    And the site has the limits to clients, and the default of one that is 0
    And a request is matched by its host and the longest prefix

  # Clients of the other URL were told that there is no such queue.
  Scenario: a queue with two URLs is served at both
    Given operators' keys with a second URL of a queue
    Then requests at both URLs are for that queue

  Scenario Outline: a malformed configuration yields a site without queues
    Given operators' keys whose configuration is <damage>
    Then the site has version 0

    Examples:
      | damage           |
      | no JSON          |
      | a list           |
      | without routes   |
      | a string route   |

  Scenario: a runner's ping is decoded
    When a runner sends a ping while it drains
    Then the report is draining and has the runner's boot, labels and capacity

  Scenario Outline: a malformed ping is refused
    When a runner's ping has <damage>
    Then it is answered with 400 and not reported

    Examples:
      | damage               |
      | no state             |
      | an unknown state     |
      | a string as number   |
      | true as number       |
      | no capacity          |
      | numbers as labels    |
      | no JSON              |
      | 200000 levels        |
      | a capacity of 10^30  |
      | a negative capacity  |
      | a remaining time of 10^30 |
      | an infinite number   |
      | port 0               |
      | port 99999           |
      | a host name          |
      | an unpaired surrogate |
      | a zone of 1 MB       |
      | 200000 labels        |

  Scenario Outline: a ping of an identity that no header can carry is refused
    When a runner whose identity is <identity> sends a ping
    Then it is answered with 400 and not reported

    Examples:
      | identity     |
      | a%0d%0ab     |
      | %F0%9F%90%9F |
      | a%20b        |

  Scenario Outline: the response to a submission gives the recorded outcome
    Given a queue whose leader answers a submission with <outcome>
    Then the client gets <status> and <header>

    Examples:
      | outcome   | status | header           |
      | found     | 200    | no retry-after   |
      | refused   | 503    | retry-after: 1 s |
      | uncertain | 504    | no retry-after   |

  Scenario Outline: the response to a query gives the job's outcome
    Given a queue whose leader answers a query with <outcome>
    Then the querying client gets <status>

    Examples:
      | outcome   | status |
      | found     | 200    |
      | absent    | 410    |
      | uncertain | 504    |

  Scenario Outline: a malformed job is refused
    When a client submits a job with <damage>
    Then the job is answered with 400 and the leader is not called

    Examples:
      | damage                    |
      | no JSON                   |
      | no steps                  |
      | a step after itself       |
      | a step of 0 tasks         |
      | a spec of 5000 bytes      |
      | a spec that is a number   |
      | 200000 levels             |
      | a step of 10^30 cores     |
      | a step of 10^30 tasks     |
      | a time of 10^30 ms        |
      | a negative capacity       |
      | a number as image         |
      | an unpaired surrogate     |
      | a list as job             |

  Scenario Outline: requests that match no queue or job are refused
    When a client requests <path> of <host>
    Then the client's request gets <status>

    Examples:
      | path                        | host         | status |
      | /nowhere/                   | desk.example | 404    |
      | /jobs/                      | else.example | 404    |
      | /jobs/xyz                   | desk.example | 400    |
      | /jobs/0123456789abcdef0     | desk.example | 400    |

  Scenario: every field of a step reaches the workflow
    When a client submits a job whose step uses every field
    Then the decoded workflow has the same values

  Scenario: a runner's listings and refusals are decoded
    Given a runner of the platform
    When a task is started there, and another with an older fencing token
    Then the first has started and the second is fenced
    And a listing has only the first
    And a call meant for another runner reports that the worker was replaced

  Scenario: the advisor's rows become tickets
    Given an advisor of the platform that permits i-1 and i-3
    When the advisor is asked about i-1, i-2 and i-3
    Then i-1 and i-3 have tickets

  Scenario: a call that an overloaded advisor rejects has no answer
    Given an advisor of the platform that permits i-1 and i-3
    When 40 calls arrive while the advisor decides
    Then some calls have no answer, and the others have tickets
