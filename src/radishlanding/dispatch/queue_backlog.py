"""Work of a queue that is not done."""

import dataclasses

from radishlanding.workflow import WorkflowPhase


@dataclasses.dataclass(slots=True, kw_only=True)
class QueueBacklog:
    """Finite workflows of a queue that have not ended.

    :param queue: Name of the queue.
    :param pool: Pool of the VMs that run them.
    :param priority: Smaller numbers go first.
    :param waiting: Workflows of which no task is known to have started.
    :param running: The others.
    :param core_ms: Work that is left, in core-milliseconds.
    :param drained_millicores: Work done per time over the last seconds, as a
        number of processors.
    """

    queue: str
    pool: str
    priority: int
    waiting: int = 0
    running: int = 0
    core_ms: float = 0.0
    drained_millicores: float = 0.0

    def add(self, record, core_ms):
        """Count a workflow.

        :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
        :param core_ms: Its work that is left, in core-milliseconds.
        """
        is_waiting = record.phase == WorkflowPhase.QUEUED
        self.waiting += is_waiting
        self.running += not is_waiting
        self.core_ms += core_ms
