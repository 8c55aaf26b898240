"""Ask for the right to send one attempt of a request."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ClaimRequest:
    """Ask for the right to send one attempt of a request.

    :param key: Identity of the request.
    :param holder: Unique identity of the sender's try.
    :param forbidden: Highest attempt proved never to run, 0 for none.
    :param vm: VM that would run it.
    :param incarnation: Agent incarnation that would run it.
    :param clock_ms: Newest clock of that agent that was seen.
    :param digest: Digest of the request's service and body.
    """

    key: str
    holder: str
    forbidden: int
    vm: str
    incarnation: str
    clock_ms: int
    digest: str
