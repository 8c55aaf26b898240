"""Settings of a scheduler."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SchedulerSettings:
    """Settings of ``radishlanding-scheduler``.

    :param id: Identity of the process in the site.
    :param zone: Availability zone of its VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param peer_listen: ``ip:port`` for entries and agents; port 0 for a
        free one.
    :param peer_advertise: ``ip:port`` that peers dial, empty for the same.
    :param store_calls_per_s: Bound on calls to the store.
    :param vm_lease_s: How long an agent runs tasks without an
        acknowledgement, in seconds; the same in every process of a site.
    :param owner_grace_s: How long an owner that the store does not confirm
        goes on extending VM leases, in seconds; the same in every process.
    :param drift_s: Allowance for clocks that run at different rates, in
        seconds.
    :param log_level: Lowest level that is logged.
    :param metrics_endpoint: OTLP/HTTP URL, empty for no export.
    """

    id: str
    zone: str
    store: str
    peer_listen: str
    peer_advertise: str = ""
    store_calls_per_s: float = 60.0
    vm_lease_s: float = 10.0
    owner_grace_s: float = 120.0
    drift_s: float = 1.0
    log_level: str = "info"
    metrics_endpoint: str = ""
