"""Settings of an entry."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class EntrySettings:
    """Settings of ``radishlanding-entry``.

    :param id: Identity of the process in the site.
    :param zone: Availability zone of its VM.
    :param store: ``ip:port`` of the platform's key-value service.
    :param http_listen: ``ip:port`` for callers and operators.
    :param peer_listen: ``ip:port`` for agents; port 0 for a free one.
    :param peer_advertise: ``ip:port`` that agents dial, empty for the same.
    :param store_calls_per_s: Bound on calls to the store.
    :param max_requests: Bound on callers' requests in flight.
    :param max_connections: Bound on callers' connections.
    :param drain_s: Time for requests in flight at a stop, in seconds.
    :param log_level: Lowest level that is logged.
    :param metrics_endpoint: OTLP/HTTP URL, empty for no export.
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
