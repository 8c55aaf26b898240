"""An advisor's permission to run a step on one boot of a worker."""

import dataclasses

# An order takes up to 2.5 s to be carried out; by then a ticket with less
# time left may have expired, and the worker refuses it.
MIN_REMAINING_S = 3.0
# Orders usually take milliseconds, so that a ticket which never has that much
# time left is used in the first part of its time.
MIN_REMAINING_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ticket:
    """A ticket and its time.

    :param text: The ticket, as the worker has to get it.
    :param issued_s: When it became valid, on the boot clock, in seconds.
    :param valid_s: For how long it is valid, in seconds.
    """

    text: str
    issued_s: float
    valid_s: float

    def is_usable(self, now_s):
        """Return whether an order that is made now may use it.

        :param now_s: Time on the boot clock, in seconds.
        """
        remaining_s = self.issued_s + self.valid_s - now_s
        return remaining_s >= min(
            MIN_REMAINING_S, MIN_REMAINING_SHARE * self.valid_s
        )
