"""Durations that the owner and the agents must agree on."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class LeaseTiming:
    """Durations of leases and their tolerances, in seconds.

    :param vm_lease_s: How long an agent runs tasks without an
        acknowledgement.
    :param owner_grace_s: How long an owner extends leases without
        confirmation by the store.
    :param drift_s: Tolerance for clocks that run at different rates.
    :param hold_max_s: Longest time until a deadline set on a worker expires;
        0 if workers have no deadlines.
    :param start_window_s: Longest time from a report until the start of a
        task that was ordered after it.
    """

    vm_lease_s: float
    owner_grace_s: float
    drift_s: float
    hold_max_s: float = 0.0
    start_window_s: float = 0.0
