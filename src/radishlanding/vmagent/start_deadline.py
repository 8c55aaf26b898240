"""The time until which a worker may begin an attempt."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StartDeadline:
    """Deadline that all start calls of an attempt carry.

    A worker refuses a start whose deadline has passed on its clock. A call
    without an answer has no effect after that, however late it arrives.

    :param clock_ms: The deadline on the worker's clock, in milliseconds.
    :param due_s: The deadline on the boot clock, in seconds.
    :param passed_s: When it has passed even on a slow worker's clock, on the
        boot clock, in seconds.
    """

    clock_ms: int
    due_s: float
    passed_s: float

    def precedes(self, listing, *, sent_s):
        """Return whether it had passed before a list was made.

        :param listing: A :class:`radishlanding.worker.AttemptListing`.
        :param sent_s: When it was requested, on the boot clock, in seconds.
        """
        return listing.clock_ms > self.clock_ms and sent_s > self.passed_s
