"""Tombstones by workflow and queue."""

import collections


class TombstoneTable:
    """Hold tombstones in the order of their ages."""

    __slots__ = ("_by_key", "_by_workflow")

    def __init__(self):
        """Start empty."""
        self._by_key = {}
        # Tombstones by name of the queue, by workflow id.
        self._by_workflow = collections.defaultdict(dict)

    def __len__(self):
        """Return the number of tombstones."""
        return len(self._by_key)

    def __iter__(self):
        """Iterate over the tombstones, from the oldest to the newest."""
        return iter(self._by_key.values())

    def add(self, tombstone):
        """Add a tombstone as the newest, in place of an earlier one."""
        key = _key(tombstone)
        self._by_key.pop(key, None)
        self._by_key[key] = tombstone
        self._by_workflow[tombstone.workflow_id][key] = tombstone

    def find(self, workflow_id, queue):
        """Return the newest tombstone of a workflow, or None.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`QueueRef` of its queue.
        """
        matching = [
            tombstone
            for tombstone in self._by_workflow.get(workflow_id, {}).values()
            if tombstone.queue.matches(queue)
        ]
        return max(
            matching, key=lambda tombstone: tombstone.made_ms, default=None
        )

    def prune(self, *, before_ms):
        """Drop old tombstones.

        :param before_ms: Unix time in milliseconds; those made earlier are
            dropped.
        """
        for key, tombstone in list(self._by_key.items()):
            if tombstone.made_ms < before_ms:
                del self._by_key[key]
                of_workflow = self._by_workflow[tombstone.workflow_id]
                del of_workflow[key]
                if not of_workflow:
                    del self._by_workflow[tombstone.workflow_id]


def _key(tombstone):
    return tombstone.workflow_id, tombstone.queue.name
