"""Times that owner and agents must agree on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Timing:
    """Bounds of leases, in seconds.

    :param vm_lease_s: How long an agent runs tasks without an
        acknowledgement.
    :param owner_grace_s: How long an unconfirmed owner extends leases.
    :param drift_s: Allowance for clocks at different rates.
    """

    vm_lease_s: float
    owner_grace_s: float
    drift_s: float
