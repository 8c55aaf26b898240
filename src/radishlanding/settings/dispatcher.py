"""Settings of a dispatcher."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class DispatcherSettings:
    """Settings of ``radishlanding-dispatcher``.

    :param id: Identity of the process in the site.
    :param zone: Availability zone of its VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param http_listen: ``ip:port`` for callers.
    :param ready_listen: ``ip:port`` for readiness checks.
    :param peer_listen: ``ip:port`` for agents and other dispatchers.
    :param advisor: ``ip:port`` of the site's advisor, empty for none.
    :param peer_advertise: ``ip:port`` that peers dial, empty for the same.
    :param metrics_listen: ``ip:port`` for metrics, empty for none.
    :param cpu_share: Share of a core that the process may use.
    :param cores: How fast that core is, in cores of the platform.
    :param link_mbps: Link of the VM, in megabits a second.
    :param store_calls_per_s: Bound on calls to the store.
    :param vm_lease_s: How long tasks run without an acknowledgement, in
        seconds; the same in every process of a site.
    :param owner_grace_s: How long a leader that cannot prove its leadership
        extends leases, in seconds.
    :param drift_s: Allowance for clocks at different rates, in seconds.
    :param hold_max_ms: Longest time that a worker is held by a deadline, in
        milliseconds; the platform says how long.
    :param linger_s: How long new requests are still taken after a stop was
        asked for, in seconds; the platform needs two readiness checks, a
        second apart, to send them elsewhere.
    :param drain_s: Time for requests in flight after that, in seconds; with
        ``linger_s`` less than the platform's 6 s between SIGTERM and SIGKILL.
    :param log_level: Lowest level that is logged.
    """

    id: str
    zone: str
    store: str
    http_listen: str
    ready_listen: str
    peer_listen: str
    advisor: str = ""
    peer_advertise: str = ""
    metrics_listen: str = ""
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1000.0
    store_calls_per_s: float = 150.0
    vm_lease_s: float = 7.0
    owner_grace_s: float = 3.0
    drift_s: float = 0.5
    hold_max_ms: int = 10_000
    linger_s: float = 2.2
    drain_s: float = 3.0
    log_level: str = "info"
