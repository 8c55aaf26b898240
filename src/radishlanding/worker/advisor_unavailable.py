"""The error of an advisor that gives no answer."""


class AdvisorUnavailable(Exception):
    """The advisor did not answer in time, or refused the call."""

    __slots__ = ()
