"""Operator configuration of a site that runs workflows."""

import dataclasses

from radishlanding.config.queue import Queue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Site:
    """Queues, pools and zones of a site.

    :param version: Version of the configuration, 0 before the first read.
    :param queues: Queues by name.
    :param enforcing_pools: Pools whose workers refuse tasks that exceed their
        capacity.
    :param spare_pools: Pools whose VMs are powered off.
    :param zones_out: Availability zones in which no task may start.
    :param max_body_bytes: Maximum length of a request body, in bytes.
    """

    version: int = 0
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    enforcing_pools: frozenset[str] = frozenset()
    spare_pools: frozenset[str] = frozenset()
    zones_out: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

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
