"""Workflows that have started and are not recorded as such."""

from radishlanding.dispatch.entry_room import MAX_PART_BYTES
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import WorkflowPhase

# Callers may get a number of waiting workflows that is 2 s old. The report of
# a start takes up to a second of that.
MAX_DELAY_S = 0.5


class PendingStarts:
    """Hold the workflows whose first task has started, for the log.

    A start is known once the worker has confirmed it, has listed the attempt,
    or has ended it. An attempt that was assigned, or ordered without an
    answer, may never run.

    They go into an entry that is made for another reason, or into one of
    their own after ``MAX_DELAY_S``. The record of an end thus never precedes
    that of the start.
    """

    __slots__ = ("_registry", "_since_s")

    def __init__(self, *, registry):
        """Start without workflows.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        """
        self._registry = registry
        # When the start became known, on the boot clock, by workflow.
        self._since_s = {}

    def observe(self, report):
        """Note the workflows whose tasks have started by a report.

        :param report: A :class:`radishlanding.message.VmReport`.
        """
        for item in report.running:
            if not item.is_unconfirmed:
                self._note(item)
        for item in report.ended:
            if item.has_run:
                self._note(item)

    def _note(self, item):
        record, task = self._registry.find(item.task_id)
        if (
            task is not None
            and item.attempt <= task.attempt
            and record.phase == WorkflowPhase.QUEUED
        ):
            workflow_id = record.workflow.workflow_id
            self._since_s.setdefault(workflow_id, boot_clock_s())

    def collect(self, room, *, has_changes):
        """Return the workflows to record now, and remove them.

        :param room: The :class:`EntryRoom` of the entry.
        :param has_changes: Whether the entry is made in any case.
        :returns: Their identities.
        """
        due_s = boot_clock_s() - MAX_DELAY_S
        if not has_changes and not any(
            since_s <= due_s for since_s in self._since_s.values()
        ):
            return []
        taken = room.take(self._since_s, max_bytes=MAX_PART_BYTES)
        for workflow_id in taken:
            del self._since_s[workflow_id]
        return taken
