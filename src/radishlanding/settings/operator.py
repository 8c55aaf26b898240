"""Settings of the operators' command line."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorSettings:
    """Settings of ``radishlanding``.

    :param entries: ``ip:port`` of entries, tried in order.
    :param author: Name under which changes are made.
    :param timeout_s: Time for one call, in seconds.
    """

    entries: list[str]
    author: str = "operator"
    timeout_s: float = 10.0
