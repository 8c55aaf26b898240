Feature: Connections between processes notice silence and survive bad peers

  Scenario Outline: a connection that goes silent is lost within 3 s at both ends
    Given a peer behind a proxy
    When the open connection goes silent <direction>
    Then both ends know within 3 s
    And the link has a new connection that works within 1 s

    Examples:
      | direction  |
      | both ways  |
      | upwards    |
      | downwards  |

  Scenario: a call on a silent connection fails and says that it was sent
    Given a peer behind a proxy
    When the open connection goes silent both ways
    Then a call fails within 3 s, perhaps having taken effect

  Scenario: answers that come crossed reach their own calls
    Given a peer behind a proxy
    Then 50 calls that are answered in reverse each get their own answer

  Scenario Outline: a bad peer is cut off and harms nobody else
    Given a peer behind a proxy
    When somebody sends <what>
    Then that connection is closed within 1 s
    And the link still works

    Examples:
      | what                      |
      | a frame of 2 GB           |
      | an empty frame            |
      | a frame that is no message |
      | 64 KB of noise            |

  Scenario: connections over the bound are closed
    Given a peer behind a proxy
    When 30 more connect to a server with a bound of 20
    Then at least 10 of them are closed at once
    And the link still works

  Scenario: a call that fails inside the peer is refused, not fatal
    Given a peer behind a proxy
    Then a call that makes the handler fail is refused
    And the link still works

  Scenario Outline: a peer that cannot be dialled
    Given an address at which <state>
    Then dialling it fails within 1.5 s, and tells that it was <told>

    Examples:
      | state                      | told        |
      | nobody listens             | refused     |
      | the queue of dials is full | not refused |
