"""Settings of an agent beside a worker of workflows."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class VmAgentSettings:
    """Settings of ``radishlanding-vmagent``.

    :param id: Identity of the VM.
    :param zone: Availability zone of the VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param report_listen: ``ip:port`` on which the worker reports itself.
    :param seeds: ``ip:port`` on VMs of dispatchers, to begin with; the port
        may be that of another service.
    :param peer_port: Port of the dispatchers' peer interface.
    :param metrics_listen: ``ip:port`` for metrics, empty for none.
    :param store_calls_per_s: Bound on calls to the store.
    :param vm_lease_s: How long tasks run without an acknowledgement, in
        seconds; the same in every process of a site.
    :param hold_max_ms: Longest time that the worker is held by a deadline,
        in milliseconds; the platform says it.
    :param log_level: Lowest level that is logged.
    """

    id: str
    zone: str
    store: str
    report_listen: str
    seeds: list[str]
    peer_port: int
    metrics_listen: str = ""
    store_calls_per_s: float = 5.0
    vm_lease_s: float = 7.0
    hold_max_ms: int = 10_000
    log_level: str = "info"
