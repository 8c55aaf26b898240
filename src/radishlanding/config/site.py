"""Operator configuration of a site that runs workflows."""

import dataclasses

from radishlanding.config.queue import Queue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Site:
    """Queues, pools and zones of a site.

    :param version: Version of the configuration, 0 before the first read.
    :param queues: Queues by name; one that has several URLs is there once for
        each, by URL but for the first.
    :param enforcing_pools: Pools whose workers refuse tasks that exceed their
        capacity.
    :param spare_pools: Pools whose VMs are powered off.
    :param zones_out: Availability zones in which no task may start.
    :param max_body_bytes: Maximum length of a request body, in bytes.
    :param max_header_bytes: Maximum length of a request line and its headers,
        in bytes.
    :param header_timeout_ms: Maximum time from the first byte of a request to
        the end of its headers, in milliseconds.
    :param idle_timeout_ms: How long a connection may stay open without a
        request, in milliseconds.
    """

    version: int = 0
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    enforcing_pools: frozenset[str] = frozenset()
    spare_pools: frozenset[str] = frozenset()
    zones_out: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144
    max_header_bytes: int = 16_384
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000

    def find_queue(self, host, path):
        """Return the queue with the longest matching prefix, or None.

        :param host: Host of the request, without a port.
        :param path: Path of the request.
        """
        matches = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
