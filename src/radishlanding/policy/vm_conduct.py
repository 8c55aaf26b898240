"""What is held against one VM."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class VmConduct:
    """Observations of one VM, each of which fades with time.

    :param at_s: Time until which they have faded, in seconds.
    :param slowness: Logarithm of the factor by which tasks run longer than
        their siblings elsewhere; a moving mean.
    :param failures: Share of tasks that fail on it, of workflows that fail on
        no other VM; a moving mean.
    :param losses: Times that the VM was lost or started again.
    :param proofs_left: Good observations until the VM has full trust again,
        0 if it was not doubtful.
    :param doubted_s: When it was last doubtful, in seconds.
    """

    at_s: float
    slowness: float = 0.0
    failures: float = 0.0
    losses: float = 0.0
    proofs_left: int = 0
    doubted_s: float = 0.0
