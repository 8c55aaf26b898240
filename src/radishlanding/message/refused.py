"""Refusal of a call."""

import dataclasses

# Reason of a leader that can record nothing; dispatchers look for it.
STORE_UNANSWERED = "the store does not answer"


@dataclasses.dataclass(slots=True, kw_only=True)
class Refused:
    """Refuse a call.

    Any process replies with it to a call that it cannot handle.

    :param reason: Why the call is refused.
    """

    reason: str
