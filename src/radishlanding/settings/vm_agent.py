"""Settings of an agent of a worker that runs workflows."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class VmAgentSettings:
    """Settings of ``radishlanding-vmagent``.

    :param id: Identity of the VM.
    :param zone: Availability zone of the VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param report_listen: ``ip:port`` on which the worker registers itself.
    :param seeds: ``ip:port`` on VMs of dispatchers for the first connection;
        the port may be that of another service.
    :param peer_port: Port of the dispatchers' peer protocol.
    :param metrics_listen: ``ip:port`` for metrics, empty for none.
    :param memory_mb: Memory of the process, in MB of 2^20 bytes; bounds what
        clients make it hold.
    :param max_fds: Descriptors that the process may have open, 200 of them
        for files; bounds the connections of clients.
    :param store_calls_per_s: Maximum rate of calls to the store, per second.
    :param vm_lease_s: How long tasks run without an acknowledged report, in
        seconds; must be equal in all processes of a site.
    :param hold_max_ms: Maximum time from a call to the deadline of the worker,
        in milliseconds; set by the platform.
    :param grace_s: Time between SIGTERM and SIGKILL, in seconds; set by the
        platform.
    :param log_level: Lowest level of log events to write.
    """

    id: str
    zone: str
    store: str
    report_listen: str
    seeds: list[str]
    peer_port: int
    metrics_listen: str = ""
    memory_mb: int = 160
    max_fds: int = 4096
    store_calls_per_s: float = 5.0
    vm_lease_s: float = 7.0
    hold_max_ms: int = 10_000
    grace_s: float = 6.0
    log_level: str = "info"
