"""Settings of the operators' command line tool."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class OperatorSettings:
    """Settings of ``radishlanding``.

    :param entries: ``ip:port`` of entries, which are tried in order.
    :param author: Author that is recorded with changes.
    :param timeout_s: Timeout of a call, in seconds.
    """

    entries: list[str]
    author: str = "operator"
    timeout_s: float = 10.0
