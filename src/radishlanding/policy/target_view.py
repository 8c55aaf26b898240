"""A target as seen by routing."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetView:
    """State of a target that may take a request.

    :param vm: VM that it runs on.
    :param slots: Requests that it runs concurrently.
    :param outstanding: Requests in flight, from this process and others.
    :param latency_ms: Moving average of its service time, in milliseconds.
    """

    vm: str
    slots: int
    outstanding: int
    latency_ms: float
