"""Work of each queue that is not done, and how fast it is done."""

import collections

from radishlanding.dispatch.queue_backlog import QueueBacklog
from radishlanding.policy import RemainingWorkCache
from radishlanding.workflow import WorkflowPhase

# Long enough for several ends of tasks of some seconds, short enough to
# follow a burst.
WINDOW_MS = 10_000
# A new leader shows rates from its first second on.
MIN_SPAN_MS = 1000


class Backlog:
    """Follow the finite workflows of all queues.

    Work is counted by the estimated run times, also that which has been done,
    so that estimates which are all too high or too low cancel out.
    """

    __slots__ = ("_drained", "_known", "_since_ms", "_work", "queues")

    def __init__(self, *, run_times):
        """Start without workflows.

        :param run_times: A :class:`radishlanding.policy.RunTimes`.
        """
        # Pairs of time and core-milliseconds done by queue.
        self._drained = collections.deque()
        # Record, remaining and total work by workflow.
        self._known = {}
        self._since_ms = 0
        self._work = RemainingWorkCache(run_times=run_times)
        self.queues = {}

    def update(self, records, *, rooms, now_ms):
        """Count what is left and what has been done since the last call.

        :param records: Records of all workflows that have not ended.
        :param rooms: Processors that finite tasks can use, in millicores by
            pool.
        :param now_ms: Unix time, in milliseconds.
        """
        self._since_ms = self._since_ms or now_ms
        self._drop_future(now_ms)
        done, known, queues = collections.Counter(), {}, {}
        for record in records:
            workflow = record.workflow
            if workflow.is_standing or workflow.repeats:
                continue
            left = self._work.left(
                record,
                room_millicores=rooms.get(workflow.pool, 0.0),
                now_ms=now_ms,
            )
            before = self._known.get(workflow.workflow_id)
            if before is not None and before[2]:
                scale = left.total_core_ms / before[2]
                done[workflow.queue] += max(
                    0.0, scale * before[1] - left.core_ms
                )
            known[workflow.workflow_id] = (
                record,
                left.core_ms,
                left.total_core_ms,
            )
            queue = queues.setdefault(
                workflow.queue,
                QueueBacklog(
                    queue=workflow.queue,
                    pool=workflow.pool,
                    priority=workflow.priority,
                ),
            )
            queue.add(record, left.core_ms)
        for workflow_id in self._known.keys() - known.keys():
            record, core_ms, _ = self._known[workflow_id]
            if record.phase == WorkflowPhase.COMPLETED:
                done[record.workflow.queue] += core_ms
        self._known = known
        self._work.retain(known.keys())
        self._drained.append((now_ms, done))
        self._set_rates(queues, now_ms)

    def _drop_future(self, now_ms):
        """Drop what was done at later times, before the clock was set back.

        The rates then cover the time since the oldest figure that is left.
        """
        if not self._drained or self._drained[-1][0] <= now_ms:
            return
        self._drained = collections.deque(
            item for item in self._drained if item[0] <= now_ms
        )
        self._since_ms = self._drained[0][0] if self._drained else now_ms

    def _set_rates(self, queues, now_ms):
        while self._drained and self._drained[0][0] <= now_ms - WINDOW_MS:
            self._drained.popleft()
        totals = collections.Counter()
        for _, done in self._drained:
            totals.update(done)
        # Queues without work keep their rows, as their rates still count.
        for name, queue in self.queues.items():
            if name not in queues and totals[name]:
                queues[name] = QueueBacklog(
                    queue=name, pool=queue.pool, priority=queue.priority
                )
        span_ms = min(max(now_ms - self._since_ms, MIN_SPAN_MS), WINDOW_MS)
        for name, queue in queues.items():
            queue.drained_millicores = 1000 * totals[name] / span_ms
        self.queues = queues

    def is_known(self, now_ms):
        """Return whether the rates cover a whole window."""
        return 0 < self._since_ms <= now_ms - WINDOW_MS

    def wait_ms(self, pool, priority):
        """Return how long the work of a priority and of higher ones takes.

        :param pool: Name of the pool.
        :param priority: The priority; smaller numbers go first.
        :returns: The time at the rate of the last seconds, in milliseconds;
            None if there is work and none was done.
        """
        core_ms = sum(
            queue.core_ms
            for queue in self.queues.values()
            if queue.pool == pool and queue.priority <= priority
        )
        drained = self.drained_millicores(pool, priority)
        if core_ms and not drained:
            return None
        return 1000 * core_ms / drained if core_ms else 0.0

    def drained_millicores(self, pool, priority):
        """Return how fast work of a priority and of higher ones is done.

        :param pool: Name of the pool.
        :param priority: The priority; smaller numbers go first.
        :returns: Processors in millicores.
        """
        return sum(
            queue.drained_millicores
            for queue in self.queues.values()
            if queue.pool == pool and queue.priority <= priority
        )
