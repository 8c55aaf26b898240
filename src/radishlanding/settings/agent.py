"""Settings of an agent."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentSettings:
    """Settings of ``radishlanding-agent``.

    :param vm: Identity of the VM.
    :param zone: Availability zone of the VM.
    :param rack: Rack of the VM.
    :param worker: ``ip:port`` of the platform's worker on the VM.
    :param announce_listen: ``ip:port`` on which targets announce themselves.
    :param schedulers: ``ip:port`` of some schedulers, to begin with.
    :param vm_lease_s: How long tasks run without an acknowledgement, in
        seconds; the same in every process of a site.
    :param worker_lease_s: How long the worker runs a task whose agent is
        gone, in seconds.
    :param entry_links: Number of entries that it serves.
    :param drain_s: Time for requests in flight at a stop, in seconds.
    :param log_level: Lowest level that is logged.
    :param metrics_endpoint: OTLP/HTTP URL, empty for no export.
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
