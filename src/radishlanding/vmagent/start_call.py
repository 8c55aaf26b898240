"""A single try of a start."""

from radishlanding.vm import boot_clock_s


class StartCall:
    """Implement :class:`radishlanding.worker.StartPermit` for one try.

    :ivar is_repeat: Whether another try is in flight.
    :ivar sent_s: When it was sent, on the boot clock, in seconds.
    """

    __slots__ = ("_called_s", "_permit", "is_repeat", "sent_s")

    def __init__(self, *, permit, is_repeat):
        """Record that a call is made, which may wait to be sent.

        :param permit: The :class:`OrderPermit` of the attempt.
        :param is_repeat: Whether another try is in flight.
        """
        self._called_s = self.sent_s = boot_clock_s()
        self._permit = permit
        self.is_repeat = is_repeat

    @property
    def waited_ms(self):
        """Return how long it waited to be sent, 0 if it was not sent."""
        return int((self.sent_s - self._called_s) * 1000)

    @property
    def answered_in_s(self):
        """Return the time since the call was sent, in seconds."""
        return boot_clock_s() - self.sent_s

    @property
    def age_ms(self):
        """Return the time since the call was made, in milliseconds."""
        return int((boot_clock_s() - self._called_s) * 1000)

    def wait_s(self):
        """Return how much longer it may wait to be sent, in seconds."""
        return self._permit.wait_s()

    def is_valid(self):
        """Return whether it may be sent now."""
        return self._permit.is_valid()

    def take(self):
        """Record that it is being sent, and return its terms."""
        terms = self._permit.take()
        if terms is not None:
            self.sent_s = boot_clock_s()
        return terms
