"""What a queue's advisor takes."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdvisorTiming:
    """Times of the service that permits VMs for steps.

    :param decide_ms: Time of one call, in milliseconds.
    :param each_ms: Time for each VM that the call names, in milliseconds.
    :param valid_ms: How long a ticket is valid, in milliseconds.
    """

    decide_ms: int = 0
    each_ms: int = 0
    valid_ms: int = 0
