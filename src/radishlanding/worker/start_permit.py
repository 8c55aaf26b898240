"""Interface of the decision whether a start order may be sent."""

import typing


class StartPermit(typing.Protocol):
    """Decide at the time of sending whether a start is still wanted.

    A start may wait for its turn and for a connection. What was true when it
    was ordered may have changed meanwhile.

    :ivar is_repeat: Whether another try of the start is in flight. It is only
        sent if no other call waits for its turn.
    """

    is_repeat: bool

    def wait_s(self):
        """Return how much longer the start may wait, in seconds."""

    def is_valid(self):
        """Return whether the start may be sent now."""

    def take(self):
        """Record that the start is being sent, and return its terms.

        The caller sends it without waiting for anything else.

        :returns: :class:`StartTerms`, or None if it must not be sent.
        """
