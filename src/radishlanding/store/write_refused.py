"""The error of a write that the store does not take."""

from radishlanding.store.unavailable import StoreUnavailable


class WriteRefused(StoreUnavailable):
    """The store refuses a write for its content; nothing was changed.

    The same write would be refused again.
    """

    __slots__ = ()

    def __init__(self, reason):
        """Initialise the error.

        :param reason: What the store answered.
        """
        super().__init__(reason, was_sent=False)
