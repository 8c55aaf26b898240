"""Decides which connection makes room for a new one."""

from radishlanding.http.connection_state import ConnectionState

# A client that neither sends nor reads for this long may lose its connection
# to another one. Clients inside the limits send a request in a few packets.
STALL_S = 1.0
_CLOSED_FIRST = (ConnectionState.REFUSED, ConnectionState.IDLE)
_CLOSED_IF_STALLED = (ConnectionState.READING, ConnectionState.SENDING)


def choose_closed(connections, *, now_s):
    """Return the connection to close for a new one, or None.

    Connections of refused requests go first, then idle ones, the longest idle
    of them first, then those whose client has stalled. A request that is
    complete is always answered.

    :param connections: Objects with the attributes ``state``, a
        :class:`ConnectionState`, and ``active_s``, when the client last sent
        or read something, in seconds.
    :param now_s: Present time on the same clock, in seconds.
    """
    for state in _CLOSED_FIRST:
        found = [conn for conn in connections if conn.state is state]
        if found:
            return min(found, key=lambda conn: conn.active_s)
    stalled = [
        conn
        for conn in connections
        if conn.state in _CLOSED_IF_STALLED and now_s - conn.active_s > STALL_S
    ]
    return min(stalled, key=lambda conn: conn.active_s, default=None)
