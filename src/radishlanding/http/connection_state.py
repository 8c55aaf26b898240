"""What a connection of a client is doing."""

import enum


class ConnectionState(enum.Enum):
    """What a connection is doing.

    :cvar REFUSED: The rest of a refused request is read and dropped.
    :cvar IDLE: No byte of a next request has arrived.
    :cvar READING: A request is being read.
    :cvar SERVING: A request is complete and not yet answered.
    :cvar SENDING: An answer is being sent.
    """

    REFUSED = "refused"
    IDLE = "idle"
    READING = "reading"
    SERVING = "serving"
    SENDING = "sending"
