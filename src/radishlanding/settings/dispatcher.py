"""Settings of a dispatcher."""

import dataclasses

# For handing over and the exit itself.
EXIT_S = 0.8
# Leaves the rest of the time to requests in flight.
MAX_LINGER_SHARE = 0.45


@dataclasses.dataclass(slots=True, kw_only=True)
class DispatcherSettings:
    """Settings of ``radishlanding-dispatcher``.

    :param id: Identity of the process in the site.
    :param zone: Availability zone of its VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param http_listen: ``ip:port`` for HTTP requests of callers.
    :param ready_listen: ``ip:port`` for readiness checks.
    :param peer_listen: ``ip:port`` for agents and other dispatchers.
    :param advisor: ``ip:port`` of the site's advisor, empty for none.
    :param peer_advertise: ``ip:port`` to which peers connect; empty for that
        of ``peer_listen``.
    :param metrics_listen: ``ip:port`` for metrics, empty for none.
    :param cpu_share: Share of a core that the process may use.
    :param cores: Speed of that core, in cores of the platform.
    :param link_mbps: Network bandwidth of the VM, in megabits per second.
    :param memory_mb: Memory of the VM, in MB of 2^20 bytes; bounds what
        clients and peers make the process hold.
    :param max_fds: Descriptors that the process may have open, 200 of them
        for files; bounds the connections of clients and peers.
    :param overload_control: Whether, beyond capacity, workflows that can still
        end in time go first and those whose results would be worth nothing
        are refused; otherwise workflows go by deadline.
    :param compress_log: Whether to write the log of workflows compressed;
        builds from before compression can read only what is not.
    :param store_calls_per_s: Maximum rate of calls to the store, per second.
    :param vm_lease_s: How long tasks run without an acknowledged report, in
        seconds; must be equal in all processes of a site.
    :param owner_grace_s: How long a leader that cannot prove its leadership
        keeps extending leases, in seconds.
    :param drift_s: Allowance for clock drift, in seconds.
    :param hold_max_ms: Maximum time from a call to the deadline of a worker,
        in milliseconds; set by the platform.
    :param grace_s: Time between SIGTERM and SIGKILL, in seconds; set by the
        platform. The two that follow are shortened to fit.
    :param linger_s: How long new requests are accepted after SIGTERM, in
        seconds; the platform needs two failed readiness checks, a second
        apart, to route requests elsewhere.
    :param drain_s: How long to wait for requests in flight after that, in
        seconds.
    :param log_level: Lowest level of log events to write.
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
    memory_mb: int = 256
    max_fds: int = 4096
    overload_control: bool = False
    compress_log: bool = True
    store_calls_per_s: float = 150.0
    vm_lease_s: float = 7.0
    owner_grace_s: float = 3.0
    drift_s: float = 0.5
    hold_max_ms: int = 10_000
    grace_s: float = 6.0
    linger_s: float = 2.2
    drain_s: float = 3.0
    log_level: str = "info"

    def stop_times_s(self):
        """Return how long to accept requests, and to wait for open ones.

        :returns: ``linger_s`` and ``drain_s``, shortened so that the process
            ends before it is killed.
        """
        stop_s = max(0.0, self.grace_s - EXIT_S)
        linger_s = min(self.linger_s, MAX_LINGER_SHARE * stop_s)
        return linger_s, min(self.drain_s, stop_s - linger_s)
