"""Settings of a scheduler."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SchedulerSettings:
    """Settings of ``radishlanding-scheduler``.

    :param id: Identity of the process in the site.
    :param zone: Availability zone of its VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param peer_listen: ``ip:port`` for entries and agents; port 0 for any free
        port.
    :param peer_advertise: ``ip:port`` to which peers connect; empty for that
        of ``peer_listen``.
    :param store_calls_per_s: Maximum rate of calls to the store, per second.
    :param vm_lease_s: How long an agent runs tasks without an acknowledged
        heartbeat, in seconds; must be equal in all processes of a site.
    :param owner_grace_s: How long a shard owner whose ownership the store does
        not confirm keeps extending VM leases, in seconds; must be equal in
        all processes of a site.
    :param drift_s: Allowance for clock drift, in seconds.
    :param log_level: Lowest level of log events to write.
    :param metrics_endpoint: OTLP/HTTP URL for metrics, empty for no export.
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
