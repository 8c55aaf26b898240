Feature: Peer connections detect silent peers and survive malformed input

  Scenario Outline: a silent connection is closed within 3 s at both ends
    Given a peer behind a proxy
    When the open connection goes silent <direction>
    Then both ends detect the loss within 3 s
    And the link reconnects within 1 s

    Examples:
      | direction  |
      | both ways  |
      | upwards    |
      | downwards  |

  # The address of a peer that has reset its connection cannot be read.
  Scenario: connections that are reset at once do not end the server
    Given a peer behind a proxy
    When 300 other clients connect and reset their connections
    Then the link still works

  Scenario: a call on a silent connection fails as possibly executed
    Given a peer behind a proxy
    When the open connection goes silent both ways
    Then a call fails within 3 s as possibly executed

  Scenario: replies that arrive out of order are matched to their calls
    Given a peer behind a proxy
    Then 50 calls that are answered in reverse order get their own replies

  Scenario Outline: malformed input closes only its own connection
    Given a peer behind a proxy
    When another client sends <what>
    Then that connection is closed within 1 s
    And the link still works

    Examples:
      | what                      |
      | a frame of 2 GB           |
      | an empty frame            |
      | an undecodable frame      |
      | 64 KB of noise            |

  Scenario: connections over the limit are closed
    Given a peer behind a proxy
    When 30 more clients connect to a server with a limit of 20
    Then at least 10 of them are closed at once
    And the link still works

  Scenario: an error in the handler refuses the call and keeps the connection
    Given a peer behind a proxy
    Then a call that makes the handler fail is refused
    And the link still works

  Scenario Outline: connecting to an unreachable peer fails
    Given an address where <state>
    Then connecting to it fails within 1.5 s as <failure>

    Examples:
      | state                      | failure     |
      | nothing listens            | refused     |
      | the accept queue is full   | not refused |

  Scenario: a call that is given up while it is being sent spoils no other
    Given a connection that stalls 16 bytes before the end of a call
    When the call is given up after 0.2 s while 2 others wait to be sent
    Then the peer reads no message that was not sent
    And further calls fail as not executed

  # A start order was sent although its zone had been taken out while it waited
  # behind other messages.
  Scenario: a call that is withdrawn while it waits to be sent is not sent
    Given a connection on a full link, on which a call is being sent
    When another call waits behind it and is withdrawn, and the link has room
    Then the peer reads the first call only
