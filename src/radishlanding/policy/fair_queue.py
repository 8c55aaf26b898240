"""Dominant-resource-fair queue of tasks."""

import collections

from radishlanding.vm import Capacity


class FairQueue:
    """Serve urgent tasks first, then the organisation with the least usage.

    Usage is the greatest share of the quota over the resources (dominant
    resource fairness, Ghodsi et al., NSDI 2011).
    """

    __slots__ = ("_queues", "_quotas", "_used")

    def __init__(self, *, quotas):
        """Start without usage, with an empty queue.

        :param quotas: Quota of each organisation, as a
            :class:`radishlanding.vm.Capacity`.
        """
        self._quotas = quotas
        self._used = collections.defaultdict(Capacity)
        self._queues = {}

    def charge(self, job):
        """Add a running task of a job to its organisation's usage."""
        self._used[job.organisation] += job.needs

    def add(self, *, is_urgent, organisation, items):
        """Queue the tasks of one organisation and urgency.

        :param is_urgent: Whether the tasks are urgent.
        :param organisation: Organisation of the tasks.
        :param items: Iterable of pairs of a task and its job, the longest
            queued first; it is consumed lazily.
        """
        queue = _PeekableIterator(items)
        if queue.head is not None:
            self._queues[not is_urgent, organisation] = queue

    def take(self):
        """Remove and return the next task.

        A task over its organisation's quota blocks the tasks behind it; the
        other organisations go on. Usage is unchanged: a caller that places
        the task calls :meth:`charge`.

        :returns: A pair of the task and its job, None if there is none.
        """
        while self._queues:
            key = min(self._queues, key=self._rank)
            queue = self._queues[key]
            task, job = queue.head
            quota = self._quotas.get(job.organisation, Capacity())
            if not (quota - self._used[job.organisation]).holds(job.needs):
                del self._queues[key]
                continue
            queue.advance()
            if queue.head is None:
                del self._queues[key]
            return task, job
        return None

    def _rank(self, key):
        is_normal, organisation = key
        quota = self._quotas.get(organisation, Capacity())
        used = self._used[organisation]
        pairs = (
            (quota.millicores, used.millicores),
            (quota.memory_mb, used.memory_mb),
            (quota.accelerators, used.accelerators),
        )
        share = max(
            (part / total for total, part in pairs if total), default=0
        )
        return is_normal, share, organisation


class _PeekableIterator:
    """Wrap an iterator to expose its next item."""

    __slots__ = ("_items", "head")

    def __init__(self, items):
        self._items = iter(items)
        self.advance()

    def advance(self):
        self.head = next(self._items, None)
