"""What a start order says of the time at which it is sent."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class StartTerms:
    """Fencing token and deadline of a start.

    :param fence: Fencing token.
    :param deadline_ms: Time on the worker's clock at which all attempts on it
        end, in milliseconds.
    """

    fence: int
    deadline_ms: int
