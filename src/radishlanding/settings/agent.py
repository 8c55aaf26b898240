"""Settings of an agent."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentSettings:
    """Settings of ``radishlanding-agent``.

    :param vm: Identity of the VM.
    :param zone: Availability zone of the VM.
    :param rack: Rack of the VM.
    :param worker: ``ip:port`` of the platform's worker on the VM.
    :param announce_listen: ``ip:port`` on which targets register themselves.
    :param schedulers: ``ip:port`` of schedulers for the first connection.
    :param vm_lease_s: How long tasks run without an acknowledged heartbeat, in
        seconds; must be equal in all processes of a site.
    :param worker_lease_s: How long the worker runs a task without a renewal by
        the agent, in seconds.
    :param entry_links: Number of entries to which it connects.
    :param drain_s: How long to wait for requests in flight at shutdown, in
        seconds.
    :param log_level: Lowest level of log events to write.
    :param metrics_endpoint: OTLP/HTTP URL for metrics, empty for no export.
    """

    vm: str
    zone: str
    rack: str
    worker: str
    announce_listen: str
    schedulers: list[str]
    vm_lease_s: float = 10.0
    worker_lease_s: float = 10.0
    entry_links: int = 4
    drain_s: float = 30.0
    log_level: str = "info"
    metrics_endpoint: str = ""
