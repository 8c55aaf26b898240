"""Tell who holds the claim of a request."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimAnswer:
    """Tell who holds the claim of a request.

    :param holder: Holder of the claim.
    :param attempt: Number of the claimed attempt, 0 for none.
    :param vm: VM of the claimed attempt.
    :param incarnation: Agent incarnation of the claimed attempt.
    :param clock_ms: Clock of that agent when it was claimed.
    :param digest: Digest of the claimed request.
    :param reason: Why there is no claim.
    """

    holder: str
    attempt: int
    vm: str
    incarnation: str
    clock_ms: int
    digest: str
    reason: str = ""
