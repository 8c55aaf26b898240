"""Queues submissions and cancellations for the log."""

from radishlanding.dispatch.answers import found_answer
from radishlanding.dispatch.answers import refused_answer
from radishlanding.dispatch.cancellation_queue import CancellationQueue
from radishlanding.dispatch.entry_room import MAX_ENTRY_BYTES
from radishlanding.dispatch.entry_room import packed_size
from radishlanding.dispatch.pending_items import PendingItems
from radishlanding.dispatch.submission import Submission
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.policy import MAX_GANG_TASKS

_log = EventLog("radishlanding.dispatch")


class SubmissionQueue:
    """Hold submissions until they are committed, then answer callers."""

    __slots__ = (
        "_admission",
        "_cancellations",
        "_counters",
        "_early_cancellations",
        "_max_entry_bytes",
        "_registry",
        "_stored_size",
        "_submissions",
        "_wake",
    )

    def __init__(
        self,
        *,
        registry,
        wake,
        max_entry_bytes,
        stored_size,
        counters,
        early_cancellations,
        admission=None,
    ):
        """Initialise an empty queue.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param wake: Callable that makes the recorder collect submissions.
        :param max_entry_bytes: Size of the workflows in one entry, which one
            workflow may exceed.
        :param stored_size: Callable that takes a workflow and returns the
            size of its record in the log, in bytes.
        :param counters: Metrics counters of the process.
        :param early_cancellations: The :class:`EarlyCancellations`.
        :param admission: An :class:`AdmissionControl`, None to accept all.
        """
        self._admission = admission
        self._max_entry_bytes = max_entry_bytes
        self._registry = registry
        self._cancellations = CancellationQueue(
            registry=registry,
            wake=wake,
            early_cancellations=early_cancellations,
            find_submission=self._find,
        )
        self._counters = counters
        self._early_cancellations = early_cancellations
        self._stored_size = stored_size
        # By workflow id.
        self._submissions = PendingItems(registry=registry)
        self._wake = wake

    async def submit(self, workflow):
        """Queue a workflow and wait for the outcome.

        :returns: A :class:`radishlanding.message.WorkflowAnswer`; a refused
            workflow has not been recorded and will not be. One that no entry
            can hold is refused, and so is one whose identity another queue
            uses, that was cancelled before, or that could only end when it
            is worth nothing.
        :raises CallRefused: The store does not answer and no entry contains
            the workflow, so that another leader may be asked.
        """
        workflow_id = workflow.workflow_id
        answer = self._known_answer(workflow)
        if answer is not None:
            return answer
        if self._submissions.get(workflow_id) is None:
            answer = self._refusal(workflow)
            if answer is not None:
                return answer
            self._submissions.add(
                workflow_id,
                Submission(
                    workflow_id=workflow_id,
                    queue=workflow.queue_ref,
                    workflow=workflow,
                ),
            )
            self._wake()
        return await self._submissions.wait(workflow_id)

    async def cancel(self, workflow_id, queue):
        """Cancel a workflow; see :meth:`CancellationQueue.cancel`."""
        return await self._cancellations.cancel(workflow_id, queue)

    def _known_answer(self, workflow):
        """Return the answer by what has the identity already, or None."""
        item = self._submissions.get(workflow.workflow_id)
        record = self._registry.workflows.get(workflow.workflow_id)
        owner = item or record
        if owner is None:
            return None
        if not owner.workflow.queue_ref.matches(workflow.queue_ref):
            self._report_conflict(workflow, owner.workflow)
            return refused_answer(
                "another queue uses this identity", retry_after_s=0
            )
        if item is None and record.shown:
            return found_answer(record)
        return None

    def _refusal(self, workflow):
        """Return why a workflow can't be accepted, None if it can."""
        is_new = workflow.workflow_id not in self._registry.workflows
        if is_new and (
            self._early_cancellations.covers(workflow)
            or self._cancellations.covers(workflow)
        ):
            self._early_cancellations.report_late_submission(workflow)
            return refused_answer(
                "cancelled before it arrived", retry_after_s=0
            )
        if self._is_too_large(workflow):
            return refused_answer(
                f"the workflow exceeds {MAX_ENTRY_BYTES} bytes"
            )
        if _has_oversized_gang(workflow):
            return refused_answer(
                f"a gang has more than {MAX_GANG_TASKS} tasks",
                retry_after_s=0,
            )
        if is_new and self._admission is not None:
            retry_after_s = self._admission.retry_after_s(workflow)
            if retry_after_s:
                return refused_answer(
                    "it would end too late", retry_after_s=retry_after_s
                )
        return None

    def _report_conflict(self, workflow, owner):
        self._counters.add("submission_conflicts")
        _log.info(
            "submission_conflict",
            workflow=workflow.workflow_id,
            queue=workflow.queue,
            owner=owner.queue,
            owner_age_ms=now_ms() - owner.accepted_ms,
        )

    def _is_too_large(self, workflow):
        return (
            packed_size(workflow) > MAX_ENTRY_BYTES
            and self._stored_size(workflow) > MAX_ENTRY_BYTES
        )

    def _find(self, workflow_id, queue):
        """Return the submission of a queue that waits, or None."""
        item = self._submissions.get(workflow_id)
        if item is None or not item.queue.matches(queue):
            return None
        return item

    def collect(self, room):
        """Collect what the next entry has to contain.

        :param room: The :class:`EntryRoom` of the entry.
        :returns: Workflows to accept, identities of those to cancel, and
            tombstones of unknown ones, as many as the entry takes.
        """
        accepted = room.take(
            (
                item.workflow
                for item in self._submissions
                if not item.is_collected
            ),
            max_bytes=self._max_entry_bytes,
        )
        for workflow in accepted:
            self._submissions.get(workflow.workflow_id).is_collected = True
        cancelled, tombstones = self._cancellations.collect(room)
        return accepted, cancelled, tombstones

    def settle(self, entry):
        """Settle what a committed entry contains.

        It is the only one that was being appended, so that it contains all
        cancellations that were collected.
        """
        for workflow in entry.accepted:
            self._submissions.settle(workflow.workflow_id, is_recorded=True)
        self._cancellations.settle()

    def release_uncollected(self):
        """See :meth:`PendingItems.release_uncollected`."""
        self._submissions.release_uncollected()
        self._cancellations.release_uncollected()

    def close(self):
        """See :meth:`PendingItems.close`."""
        self._submissions.close()
        self._cancellations.close()


def _has_oversized_gang(workflow):
    """Return whether the workflow has a gang that can never be placed."""
    return any(
        step.gang and step.count > MAX_GANG_TASKS for step in workflow.steps
    )
