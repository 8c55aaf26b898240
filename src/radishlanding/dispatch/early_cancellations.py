"""Cancellations that are on record before their workflows arrive."""

import math

from radishlanding.dispatch.entry_log import ENDED_RETENTION_MS
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog

# Anyone can cancel workflows that do not exist. A tombstone takes 0.5 kB of
# memory, and 0.4 kB in a snapshot before compression.
MAX_TOMBSTONES = 2048
# A repeated cancellation of an unknown workflow needs no further entry while
# its tombstone is younger.
RENEWAL_MS = ENDED_RETENTION_MS // 2

_log = EventLog("radishlanding.dispatch")


class EarlyCancellations:
    """Decide about workflows by the tombstones on record.

    A tombstone keeps the promise that a workflow is absent, which its caller
    got as the answer to a cancellation.
    """

    __slots__ = ("_clock", "_counters", "_registry")

    def __init__(self, *, registry, clock, counters):
        """Prepare.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param clock: The :class:`RetentionClock` of the leader.
        :param counters: Metrics counters of the process.
        """
        self._clock = clock
        self._counters = counters
        self._registry = registry

    def covers(self, workflow):
        """Return whether a workflow must not be accepted."""
        return self._find(workflow) is not None

    def _find(self, workflow):
        return self._registry.tombstones.find(
            workflow.workflow_id, workflow.queue_ref
        )

    def report_late_submission(self, workflow):
        """Log and count the submission of a cancelled workflow."""
        tombstone = self._find(workflow)
        age_ms = 0
        if tombstone is not None:
            age_ms = max(0, now_ms() - tombstone.made_ms)
        self._counters.add("submissions_after_cancellation")
        _log.info(
            "submission_after_cancellation",
            workflow=workflow.workflow_id,
            queue=workflow.queue,
            cancelled_ms_ago=age_ms,
        )

    def is_recent(self, workflow_id, queue):
        """Return whether a repeated cancellation needs no other tombstone.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`radishlanding.workflow.QueueRef` of its queue.
        """
        tombstone = self._registry.tombstones.find(workflow_id, queue)
        return (
            tombstone is not None
            and self._clock.now_ms() - tombstone.made_ms < RENEWAL_MS
        )

    def retry_after_s(self, workflow_id, queue, *, waiting):
        """Return when there is room for a tombstone, 0 if there is now.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`radishlanding.workflow.QueueRef` of its queue.
        :param waiting: Number of cancellations that are not on record yet.
        :returns: Whole seconds.
        """
        tombstones = self._registry.tombstones
        if tombstones.find(workflow_id, queue) is not None:
            return 0
        oldest = next(iter(tombstones), None)
        expired_ms = self._clock.now_ms() - ENDED_RETENTION_MS
        if oldest is not None and oldest.made_ms < expired_ms:
            tombstones.prune(before_ms=expired_ms)
        if len(tombstones) + waiting < MAX_TOMBSTONES:
            return 0
        self._counters.add("tombstones_refused")
        if oldest is None:
            return 1
        return max(1, math.ceil((oldest.made_ms - expired_ms) / 1000))
