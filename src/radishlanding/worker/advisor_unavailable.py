"""Raised when an advisor gives no answer."""


class AdvisorUnavailable(Exception):
    """The advisor did not answer, or refused the call."""

    __slots__ = ()
