"""Load of a target."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetLoad:
    """Load of a target, in a :class:`LoadReport`.

    :param service: Service that the target serves.
    :param slots: Number of requests that the target runs concurrently.
    :param outstanding: Number of requests in flight.
    :param leaving: Whether the target accepts no new requests.
    :param latency_ms: Moving average of the service time, in milliseconds.
    """

    service: str
    slots: int
    outstanding: int
    leaving: bool
    latency_ms: float
