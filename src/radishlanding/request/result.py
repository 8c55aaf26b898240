"""What a caller is answered."""

import dataclasses

from radishlanding.request.outcome import Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class Result:
    """The outcome of a request.

    :param outcome: Whether it ran.
    :param reason: Why the outcome is not done, or an empty string.
    :param status: HTTP status of the target's answer.
    :param body: Body of the target's answer.
    """

    outcome: Outcome
    reason: str = ""
    status: int = 0
    body: bytes = b""
