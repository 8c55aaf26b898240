Feature: Connections share the memory and descriptors of their process

  # Callers inside the limits may not meet the bounds on strangers.
  Scenario: 400 callers at once are answered with 300 MB and 4100 descriptors
    Given a server with 300 MB and 4100 descriptors
    When 400 callers connect and then send a request each
    Then all of them are answered with 200

  # One connection at a time parsed one chunk in each round of the event loop.
  Scenario: bodies in small chunks are served beside other work
    Given a server with 300 MB and 4100 descriptors
    And other work takes 10 ms in each round of the event loop
    When 20 callers send bodies of 64 KiB in chunks of 1 KiB
    Then all of them are answered with 200

  Scenario Outline: the parts of a budget fit into <memory_mb> MB and <max_fds>
    Given the budget of a process with <memory_mb> MB and <max_fds> descriptors
    Then its parts take at most three quarters of the memory
    And its connections leave 200 descriptors for files

    Examples:
      | memory_mb | max_fds |
      | 96        | 500     |
      | 160       | 4100    |
      | 552       | 8192    |

  # Memory that is not returned refuses all callers in the end.
  Scenario Outline: a request that <ends> returns its memory
    Given a server with 96 MB and 500 descriptors
    When a request <ends>
    Then no memory of the budget is in use

    Examples:
      | ends                            |
      | is answered                     |
      | makes the handler fail          |
      | is cut off within its body      |
      | is too long and not announced   |
      | stops within its body           |
      | waits for memory and is cut off |

  Scenario: a length over the limit is refused before a body arrives
    Given a server with 96 MB and 500 descriptors
    When a client announces a body over the limit and sends none
    Then it is answered with 413

  Scenario: headers that never end are refused
    Given a server with 96 MB and 500 descriptors
    When a client begins headers and sends no more
    Then it is answered with 408

  # Operators change the limits while connections are open.
  Scenario Outline: an open connection follows a lower limit of <limit>
    Given a server with 96 MB and 500 descriptors
    When a client is answered, the limit of <limit> is lowered, and it <acts>
    Then the connection ends with <end>

    Examples:
      | limit   | acts                   | end     |
      | bodies  | sends a body over it   | 413     |
      | headers | sends headers over it  | 431     |
      | idling  | waits                  | nothing |

  Scenario: small requests get memory first, and one that gives up keeps none
    Given a pool of 100 bytes, all in use
    When a large, a cancelled small and a small request wait for 30 bytes each
    And 55 bytes are returned
    Then memory was granted to "small"
    When 30 bytes are returned
    Then memory was granted to "small, large"
    And 75 bytes are in use

  Scenario: large requests leave a quarter to small ones
    Given a pool of 100 bytes, all in use
    When 100 bytes are returned
    Then 75 bytes can be reserved for large requests and 25 more for small ones

  Scenario Outline: <closed> makes room for a new connection
    Given connections that are <states>
    Then the one to close is <closed>

    Examples:
      | states                                           | closed    |
      | serving 9 s, idle 1 s, idle 2 s, reading 5 s     | idle 2 s  |
      | serving 9 s, refused 0.1 s, idle 2 s             | refused 0.1 s |
      | serving 9 s, reading 2 s, sending 3 s            | sending 3 s |
      | serving 9 s, reading 0.5 s, sending 0.5 s        | none      |
