"""Reply with the claim of a request."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimAnswer:
    """Return the claim of a request that is on record.

    A scheduler replies with it to a :class:`ClaimRequest`; the sender holds
    the claim if ``holder`` is its own.

    :param holder: Holder of the claim, empty if there is none.
    :param attempt: Number of the claimed attempt, 0 if there is no claim.
    :param vm: VM of the claimed attempt.
    :param incarnation: Unique identity of the agent process of the claimed
        attempt.
    :param clock_ms: Time on that agent's clock that the claim records, in
        milliseconds.
    :param digest: Digest of the claimed request.
    :param reason: Why there is no claim; may be empty.
    """

    holder: str
    attempt: int
    vm: str
    incarnation: str
    clock_ms: int
    digest: str
    reason: str = ""
