"""The recorded right to send an attempt of a request."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Claim:
    """The exclusive right to send an attempt of a non-idempotent request.

    :param key: Identity of the request.
    :param attempt: Number of the attempt, from 1.
    :param holder: Unique identity of the claimant that may send it.
    :param vm: VM that would run it.
    :param incarnation: Agent incarnation that would run it.
    :param clock_ms: Clock of that agent before the claim, in milliseconds.
    :param digest: Digest of the request's service and body.
    :param made_s: Unix time of the claim, in seconds, for its retention.
    """

    key: str
    attempt: int
    holder: str
    vm: str
    incarnation: str
    clock_ms: int
    digest: str
    made_s: float
