Feature: The platform's names are translated once, and nothing else

  Scenario: what is written in a transaction is read, listed and watched
    Given a store of the platform
    When two keys are written at once
    Then both are read with one version
    And a listing of their prefix has them in order
    And a watch from before tells of both

  Scenario: a transaction whose expectations do not hold changes nothing
    Given a store of the platform
    When a key is written that is expected to be absent, twice
    Then the second is a conflict, and the first value stands

  Scenario: a listing of many keys is read page by page
    Given a store of the platform
    When 1203 keys are written
    Then a listing of their prefix has all of them

  Scenario: history that is gone is told as such
    Given a store of the platform
    When a key is written and the store forgets its history
    Then a watch from before says that it has to be read again

  Scenario: a lease ends with its keys, and writes under it are refused
    Given a store of the platform
    When a key is written under a lease that ends
    Then the key is absent
    And another write under that lease is refused

  Scenario Outline: a store that fails says whether a write may take effect
    Given a store of the platform
    When it is <mode> and a key is written
    Then that is unavailable, and the write <effect> have taken effect

    Examples:
      | mode   | effect   |
      | busy   | can not  |
      | silent | may      |

  Scenario: the operators' documents become a site
    Given operators' keys with a queue, two zones out and a spare pool
    Then the site has that queue, both zones and that pool
    And a request is matched by its host and the longest prefix

  Scenario Outline: documents that cannot be read name nothing
    Given operators' keys whose configuration is <damage>
    Then the site has version 0

    Examples:
      | damage           |
      | no JSON          |
      | a list           |
      | without routes   |
      | a route by words |

  Scenario: a runner's word about itself is decoded
    When a runner says that it is draining
    Then the report says so, with its boot, labels and capacity

  Scenario Outline: a word that cannot be understood names no worker
    When a runner's ping has <damage>
    Then it is answered 400 and reported to nobody

    Examples:
      | damage               |
      | no state             |
      | an unknown state     |
      | a text for a number  |
      | true for a number    |
      | no room              |
      | labels of numbers    |
      | no JSON              |

  Scenario Outline: a client is told what is known, and nothing else
    Given a queue whose leader answers a submission <outcome>
    Then the client gets <status> and <advice>

    Examples:
      | outcome   | status | advice              |
      | found     | 200    | no advice           |
      | refused   | 503    | to return after 1 s |
      | uncertain | 504    | no advice           |

  Scenario Outline: a client's question about a job
    Given a queue whose leader answers a question <outcome>
    Then the client that asks gets <status>

    Examples:
      | outcome   | status |
      | found     | 200    |
      | absent    | 410    |
      | uncertain | 504    |

  Scenario Outline: a job that cannot be understood is refused with its reason
    When a client hands in a job with <damage>
    Then it gets 400 and the leader is not asked

    Examples:
      | damage                    |
      | no JSON                   |
      | no steps                  |
      | a step after itself       |
      | a step of 0 tasks         |
      | a spec of 5000 bytes      |
      | a spec that is a number   |

  Scenario Outline: requests that belong to no queue
    When a client asks for <path> of <host>
    Then it gets <status>

    Examples:
      | path                        | host         | status |
      | /nowhere/                   | desk.example | 404    |
      | /jobs/                      | else.example | 404    |
      | /jobs/xyz                   | desk.example | 400    |
      | /jobs/0123456789abcdef0     | desk.example | 400    |

  Scenario: every field of a step reaches the workflow
    When a client hands in a job whose step uses every field
    Then the workflow says the same in the product's words

  Scenario: a runner's lists and refusals are decoded
    Given a runner of the platform
    When a task is started there, and one on an older token
    Then the first has started and the second is fenced
    And a look lists the first
    And a call for another runner says that it is gone

  Scenario: the advisor's rows become tickets
    Given an advisor of the platform that permits i-1 and i-3
    When it is asked about i-1, i-2 and i-3
    Then i-1 and i-3 have tickets

  Scenario: an advisor that is full says nothing about a step
    Given an advisor of the platform that permits i-1 and i-3
    When 40 calls come while it decides
    Then some of them have no answer, and the others have tickets
