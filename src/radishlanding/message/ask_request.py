"""Ask for an attempt's answer, and forbid it if unseen."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class AskRequest:
    """Ask for an attempt's answer, and forbid it if unseen.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param incarnation: Agent incarnation that is meant.
    :param claimed_clock_ms: Clock of the agent when it was claimed.
    :param timeout_ms: How long to wait for a running attempt.
    """

    key: str
    attempt: int
    incarnation: str
    claimed_clock_ms: int
    timeout_ms: int
