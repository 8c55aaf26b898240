"""Load of one target, as the agent beside it sees it."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetLoad:
    """Load of one target, as the agent beside it sees it.

    :param service: Service that the target serves.
    :param slots: Requests that the target runs at once.
    :param outstanding: Requests in flight.
    :param leaving: Whether the target takes no new work.
    :param latency_ms: Moving average of the service time.
    """

    service: str
    slots: int
    outstanding: int
    leaving: bool
    latency_ms: float
