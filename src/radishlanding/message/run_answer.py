"""Outcome of one attempt of a request."""

import dataclasses

from radishlanding.request.outcome import Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class RunAnswer:
    """Outcome of one attempt of a request.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param outcome: Whether the attempt ran.
    :param reason: Why the outcome is not done.
    :param status: HTTP status of the target's answer.
    :param body: Body of the target's answer.
    """

    key: str
    attempt: int
    outcome: Outcome
    reason: str
    status: int = 0
    body: bytes = b""
