"""Outcome of an attempt of a request."""

import dataclasses

from radishlanding.request.outcome import Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class RunAnswer:
    """Return the outcome of one attempt of a request.

    An agent replies with it to a :class:`RunRequest` or :class:`AskRequest`.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param outcome: Whether the attempt ran.
    :param reason: Why the attempt is not done, empty if it is.
    :param status: HTTP status of the target's response, 0 if there is none.
    :param body: Body of the target's response.
    """

    key: str
    attempt: int
    outcome: Outcome
    reason: str
    status: int = 0
    body: bytes = b""
