"""Times that owner and agents must agree on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LeaseTiming:
    """Bounds of leases, in seconds.

    :param vm_lease_s: How long an agent runs tasks without an
        acknowledgement.
    :param owner_grace_s: How long an unconfirmed owner extends leases.
    :param drift_s: Allowance for clocks at different rates.
    :param hold_max_s: Longest time that a deadline holds a worker; 0 where
        workers take no deadlines.
    """

    vm_lease_s: float
    owner_grace_s: float
    drift_s: float
    hold_max_s: float = 0.0
