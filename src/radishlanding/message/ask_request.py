"""Query of an attempt's outcome."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class AskRequest:
    """Query the outcome of an attempt, and forbid it if it has not arrived.

    An entry sends it to the agent of a claimed attempt, directly or in a
    :class:`RelayAsk`. The reply is a :class:`RunAnswer`.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param incarnation: Unique identity of the agent process that the attempt
        was claimed for.
    :param claimed_clock_ms: Time on that agent's clock that the claim records,
        in milliseconds.
    :param timeout_ms: How long to wait for a running attempt, in milliseconds.
    """

    key: str
    attempt: int
    incarnation: str
    claimed_clock_ms: int
    timeout_ms: int
