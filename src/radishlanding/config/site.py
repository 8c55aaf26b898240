"""What operators have set for workflows."""

import dataclasses

from radishlanding.config.queue import Queue


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Site:
    """Queues, and zones that are out.

    :param version: Version of the queues, 0 before any was read.
    :param queues: Queues by name.
    :param guarding_pools: Pools whose workers refuse what does not fit.
    :param spare_pools: Pools whose VMs are off.
    :param zones_out: Availability zones in which nothing starts.
    :param max_body_bytes: Longest request body.
    """

    version: int = 0
    queues: dict[str, Queue] = dataclasses.field(default_factory=dict)
    enforcing_pools: frozenset[str] = frozenset()
    spare_pools: frozenset[str] = frozenset()
    zones_out: frozenset[str] = frozenset()
    max_body_bytes: int = 262_144

    def find_queue(self, host, path):
        """Return the queue with the longest matching prefix, or None.

        :param host: Host of a request, without its port.
        :param path: Path of the request.
        """
        matches = [
            queue
            for queue in self.queues.values()
            if queue.host == host and path.startswith(queue.prefix)
        ]
        return max(matches, key=lambda queue: len(queue.prefix), default=None)
