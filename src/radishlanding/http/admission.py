"""Decides which connection makes room for a new one."""

from radishlanding.http.connection_state import ConnectionState

# A client that takes longer than this to send a request or to read an answer
# may lose its connection to another one. Small requests take a few packets.
SLOW_S = 1.0
_CLOSED_FIRST = (ConnectionState.REFUSED, ConnectionState.IDLE)
_CLOSED_IF_SLOW = (ConnectionState.READING, ConnectionState.SENDING)


def choose_closed(connections, *, now_s):
    """Return the connection to close for a new one, or None.

    Connections of refused requests go first, then idle ones, then those whose
    client is slow, and of each kind the one that has been so for longest. A
    request that is complete is always carried out.

    :param connections: Objects with the attributes ``state``, a
        :class:`ConnectionState`, and ``since_s``, when it began, in seconds.
    :param now_s: Present time on the same clock, in seconds.
    """
    for state in _CLOSED_FIRST:
        found = [conn for conn in connections if conn.state is state]
        if found:
            return min(found, key=lambda conn: conn.since_s)
    slow = [
        conn
        for conn in connections
        if conn.state in _CLOSED_IF_SLOW and now_s - conn.since_s > SLOW_S
    ]
    return min(slow, key=lambda conn: conn.since_s, default=None)
