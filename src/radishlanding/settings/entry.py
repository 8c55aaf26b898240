"""Settings of an entry."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EntrySettings:
    """Settings of ``radishlanding-entry``.

    :param id: Identity of the process in the site.
    :param zone: Availability zone of its VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param http_listen: ``ip:port`` for HTTP requests of callers and operators.
    :param peer_listen: ``ip:port`` for agents; port 0 for any free port.
    :param peer_advertise: ``ip:port`` to which agents connect; empty for that
        of ``peer_listen``.
    :param store_calls_per_s: Maximum rate of calls to the store, per second.
    :param max_requests: Maximum number of requests in flight.
    :param max_connections: Maximum number of connections of callers.
    :param drain_s: How long to wait for requests in flight at shutdown, in
        seconds.
    :param log_level: Lowest level of log events to write.
    :param metrics_endpoint: OTLP/HTTP URL for metrics, empty for no export.
    """

    id: str
    zone: str
    store: str
    http_listen: str
    peer_listen: str
    peer_advertise: str = ""
    store_calls_per_s: float = 20.0
    max_requests: int = 1024
    max_connections: int = 1024
    drain_s: float = 30.0
    log_level: str = "info"
    metrics_endpoint: str = ""
