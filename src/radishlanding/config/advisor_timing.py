"""Timing of a queue's advisor."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdvisorTiming:
    """Timing of the service that issues tickets for the steps of a queue.

    :param decide_ms: Time of one call, in milliseconds.
    :param each_ms: Time for each VM that the call names, in milliseconds.
    :param valid_ms: Validity of a ticket, in milliseconds.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0
