"""A target as routing sees it."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TargetView:
    """A target that may take a request.

    :param vm: VM that it runs beside.
    :param slots: Requests that it runs at once.
    :param outstanding: Requests in flight, from here and elsewhere.
    :param latency_ms: Moving average of its service time.
    """

    vm: str
    slots: int
    outstanding: int
    latency_ms: float
