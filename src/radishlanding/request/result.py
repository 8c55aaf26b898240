"""The result of a request."""

import dataclasses

from radishlanding.request.outcome import Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The outcome of a request and the target's answer.

    :param outcome: Whether the request ran.
    :param reason: Why the outcome is not DONE, or an empty string.
    :param status: HTTP status of the target's answer, 0 without one.
    :param body: Body of the target's answer.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    body: bytes = b""
