"""What a start call says beside its order."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StartTerms:
    """Fencing token and deadline of a start.

    :param fence: Fencing token.
    :param deadline_ms: Time on the worker's clock after which it refuses the
        start, in milliseconds. It also holds its attempts until then.
    """

    fence: int
    deadline_ms: int
