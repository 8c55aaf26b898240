"""Bounds the refusals of a queue."""

# Share of a queue's submissions that may be refused. A queue at twice its
# capacity needs no more, and half of the work shows a wrong prediction.
MAX_REFUSED_SHARE = 0.5
# Each submission lets the earlier ones count less, so that some 30 count.
DECAY = 0.97


class RefusalBudget:
    """Count submissions and refusals; the latest ones count most."""

    __slots__ = ("_refused", "_submitted")

    def __init__(self):
        """Start without submissions."""
        self._refused = 0.0
        self._submitted = 0.0

    def allows_refusal(self):
        """Return whether one more may be refused."""
        refused = DECAY * self._refused + 1
        return refused <= MAX_REFUSED_SHARE * (DECAY * self._submitted + 1)

    def record(self, *, is_refused):
        """Count a submission.

        :param is_refused: Whether it was refused.
        """
        self._refused = DECAY * self._refused + is_refused
        self._submitted = DECAY * self._submitted + 1
