"""Claim of the right to send one attempt."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimRequest:
    """Claim the right to send one attempt of a request.

    An entry sends it to the owner of the request's shard. Without a VM it only
    queries the claim on record. The reply is a :class:`ClaimAnswer`.

    :param key: Identity of the request.
    :param holder: Unique identity of this claim.
    :param forbidden: Highest attempt that is known never to run, 0 for none.
    :param vm: VM that would run the attempt.
    :param incarnation: Unique identity of the agent process that would run it.
    :param clock_ms: Latest time on that agent's clock that the entry has seen,
        in milliseconds.
    :param digest: Digest of the request's service and body.
    """

    key: str
    holder: str
    forbidden: int
    vm: str
    incarnation: str
    clock_ms: int
    digest: str
