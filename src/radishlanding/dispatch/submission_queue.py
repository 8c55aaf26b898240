"""Queues submissions and cancellations for the log."""

import trio

from radishlanding.dispatch.entry_room import MAX_ENTRY_BYTES
from radishlanding.dispatch.entry_room import MAX_PART_BYTES
from radishlanding.dispatch.entry_room import packed_size
from radishlanding.dispatch.submission import Submission
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.message import WorkflowAnswer
from radishlanding.message.refused import STORE_UNANSWERED
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.policy import MAX_GANG_TASKS
from radishlanding.workflow import Tombstone
from radishlanding.workflow import WorkflowOutcome

# Callers wait 3 s for an answer; this leaves them time for a retry.
ANSWER_TIMEOUT_S = 2.0
# Store outages last seconds; callers retry once a second until they are over.
RETRY_AFTER_S = 1

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
        # By workflow id and name of the queue.
        self._cancellations = {}
        self._counters = counters
        self._early_cancellations = early_cancellations
        self._stored_size = stored_size
        self._submissions = {}
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
        item = self._submissions.get(workflow_id)
        record = self._registry.workflows.get(workflow_id)
        owner = item or record
        if owner is not None and not owner.workflow.queue_ref.matches(
            workflow.queue_ref
        ):
            self._report_conflict(workflow, owner.workflow)
            return refused_answer(
                "another queue uses this identity", retry_after_s=0
            )
        if item is None:
            if record is not None and record.shown:
                return found_answer(record)
            if record is None and self._is_cancelled_early(workflow):
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
            if record is None and self._admission is not None:
                retry_after_s = self._admission.retry_after_s(workflow)
                if retry_after_s:
                    return refused_answer(
                        "it would end too late", retry_after_s=retry_after_s
                    )
            item = self._submissions[workflow_id] = Submission(
                workflow_id=workflow_id,
                queue=workflow.queue_ref,
                workflow=workflow,
            )
            self._wake()
        return await self._wait_settled(self._submissions, workflow_id, item)

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

    def _is_waiting(self, workflow_id, queue):
        """Return whether a workflow of a queue is about to be recorded."""
        item = self._submissions.get(workflow_id)
        return item is not None and item.queue.matches(queue)

    def _is_cancelled_early(self, workflow):
        """Return whether an unknown workflow is or is being cancelled."""
        return self._early_cancellations.covers(workflow) or any(
            item.workflow_id == workflow.workflow_id
            and item.queue.matches(workflow.queue_ref)
            for item in self._cancellations.values()
        )

    async def cancel(self, workflow_id, queue):
        """Queue the cancellation of a workflow and wait for the outcome.

        A workflow that is not known gets a :class:`Tombstone`, so that it
        can't be accepted after its caller was told that it is absent.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`radishlanding.workflow.QueueRef` of its queue.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`; refused if
            there are too many tombstones.
        :raises CallRefused: The store does not answer and no entry contains
            the cancellation, so that another leader may be asked.
        """
        key = (workflow_id, queue.name)
        item = self._cancellations.get(key)
        if item is None:
            record = self._registry.find_workflow(workflow_id, queue)
            # An end that is not committed may be lost with this leader.
            if record is not None and record.has_committed_end:
                return found_answer(record)
            if record is None and not self._is_waiting(workflow_id, queue):
                retry_after_s = self._early_cancellations.retry_after_s(
                    workflow_id, queue, waiting=len(self._cancellations)
                )
                if retry_after_s:
                    return refused_answer(
                        "too many cancellations of unknown workflows",
                        retry_after_s=retry_after_s,
                    )
            item = self._cancellations[key] = Submission(
                workflow_id=workflow_id, queue=queue
            )
            self._wake()
        return await self._wait_settled(self._cancellations, key, item)

    async def _wait_settled(self, items, key, item):
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await item.settled.wait()
        if item.is_recorded:
            return found_answer(self._registry.workflows[item.workflow_id])
        if item.is_absent:
            return WorkflowAnswer(outcome=WorkflowOutcome.ABSENT)
        if item.is_collected:
            return WorkflowAnswer(
                outcome=WorkflowOutcome.UNCERTAIN,
                reason="the store has not confirmed the entry",
            )
        if items.get(key) is item:
            del items[key]
        if item.is_released:
            raise CallRefused(STORE_UNANSWERED)
        return refused_answer(STORE_UNANSWERED)

    def collect(self, room):
        """Collect what the next entry has to contain.

        :param room: The :class:`EntryRoom` of the entry.
        :returns: Workflows to accept, identities of those to cancel, and
            tombstones of unknown ones, as many as the entry takes.
        """
        accepted = room.take(
            (
                item.workflow
                for item in self._submissions.values()
                if not item.is_collected
            ),
            max_bytes=self._max_entry_bytes,
        )
        for workflow in accepted:
            self._submissions[workflow.workflow_id].is_collected = True
        known, unknown = self._due_cancellations()
        cancelled = room.take(
            (item.workflow_id for item in known), max_bytes=MAX_PART_BYTES
        )
        made_ms = now_ms()
        tombstones = room.take(
            (
                Tombstone(
                    workflow_id=item.workflow_id,
                    queue=item.queue,
                    made_ms=made_ms,
                )
                for item in unknown
            ),
            max_bytes=MAX_PART_BYTES,
        )
        for item in known[: len(cancelled)] + unknown[: len(tombstones)]:
            item.is_collected = True
        return accepted, cancelled, tombstones

    def _due_cancellations(self):
        """Return the cancellations that an entry may contain now.

        Those of workflows whose submission no entry contains yet would come
        too early.

        :returns: Those of workflows that are recorded or in the same entry,
            and those of others.
        """
        known, unknown = [], []
        for item in self._cancellations.values():
            if item.is_collected:
                continue
            if self._is_waiting(item.workflow_id, item.queue):
                if self._submissions[item.workflow_id].is_collected:
                    known.append(item)
            elif self._registry.find_workflow(item.workflow_id, item.queue):
                known.append(item)
            else:
                unknown.append(item)
        return known, unknown

    def settle(self, entry):
        """Settle the submissions that a committed entry contains.

        It is the only one that was being appended, so that it contains all
        cancellations that were collected.
        """
        for workflow in entry.accepted:
            item = self._submissions.pop(workflow.workflow_id, None)
            if item is not None:
                item.is_recorded = True
                item.settled.set()
        for key, item in list(self._cancellations.items()):
            if item.is_collected:
                del self._cancellations[key]
                record = self._registry.find_workflow(
                    item.workflow_id, item.queue
                )
                item.is_recorded = record is not None
                item.is_absent = record is None
                item.settled.set()

    def release_uncollected(self):
        """Answer all waiting callers while the store does not answer.

        Submissions that no entry contains yet are dropped and may be sent to
        another leader. The others are uncertain until their entry is
        committed.
        """
        for items in (self._submissions, self._cancellations):
            for workflow_id, item in list(items.items()):
                if not item.is_collected:
                    del items[workflow_id]
                    item.is_released = True
                item.settled.set()

    def close(self):
        """Answer all waiting callers; collected submissions stay uncertain."""
        for items in (self._submissions, self._cancellations):
            for item in items.values():
                item.settled.set()


def _has_oversized_gang(workflow):
    """Return whether the workflow has a gang that can never be placed."""
    return any(
        step.gang and step.count > MAX_GANG_TASKS for step in workflow.steps
    )


def found_answer(record):
    """Return the answer for a recorded workflow."""
    return WorkflowAnswer(
        outcome=WorkflowOutcome.FOUND,
        phase=record.shown,
        retry_after_s=0,
    )


def refused_answer(reason, *, retry_after_s=RETRY_AFTER_S):
    """Return the answer for a submission that had no effect.

    :param reason: Why, for the log.
    :param retry_after_s: When its caller may submit it again, in seconds.
    """
    return WorkflowAnswer(
        outcome=WorkflowOutcome.REFUSED,
        retry_after_s=retry_after_s,
        reason=reason,
    )
