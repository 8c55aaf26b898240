"""Queues submissions and cancellations for the log."""

import math

import trio

from radishlanding.dispatch.entry_log import ENDED_RETENTION_MS
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
# Anyone can cancel workflows that do not exist. A tombstone takes 0.3 kB of
# memory, and as much in a snapshot before compression.
MAX_TOMBSTONES = 4096
# A repeated cancellation of an unknown workflow needs no further entry while
# its tombstone is younger.
TOMBSTONE_RENEWAL_MS = ENDED_RETENTION_MS // 2

_log = EventLog("radishlanding.dispatch")


class SubmissionQueue:
    """Hold submissions until they are committed, then answer callers."""

    __slots__ = (
        "_admission",
        "_cancellations",
        "_counters",
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
        :param admission: An :class:`AdmissionControl`, None to accept all.
        """
        self._admission = admission
        self._max_entry_bytes = max_entry_bytes
        self._registry = registry
        self._cancellations = {}
        self._counters = counters
        self._stored_size = stored_size
        self._submissions = {}
        self._wake = wake

    async def submit(self, workflow):
        """Queue a workflow and wait for the outcome.

        :returns: A :class:`radishlanding.message.WorkflowAnswer`; a refused
            workflow has not been recorded and will not be. One that no entry
            can hold is refused, and so is one that was cancelled before, or
            that could only end when it is worth nothing.
        :raises CallRefused: The store does not answer and no entry contains
            the workflow, so that another leader may be asked.
        """
        workflow_id = workflow.workflow_id
        item = self._submissions.get(workflow_id)
        if item is None:
            record = self._registry.workflows.get(workflow_id)
            if record is not None and record.shown:
                return found_answer(record)
            if record is None and self._is_cancelled_early(workflow_id):
                self._report_late_submission(workflow)
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
                workflow=workflow
            )
            self._wake()
        return await self._wait_settled(self._submissions, workflow_id, item)

    def _is_too_large(self, workflow):
        return (
            packed_size(workflow) > MAX_ENTRY_BYTES
            and self._stored_size(workflow) > MAX_ENTRY_BYTES
        )

    def is_waiting(self, workflow_id):
        """Return whether a workflow is about to be recorded."""
        return workflow_id in self._submissions

    def _is_cancelled_early(self, workflow_id):
        """Return whether an unknown workflow is or is being cancelled."""
        return (
            workflow_id in self._cancellations
            or workflow_id in self._registry.tombstones
        )

    def _report_late_submission(self, workflow):
        tombstone = self._registry.tombstones.get(workflow.workflow_id)
        age_ms = 0 if tombstone is None else now_ms() - tombstone.made_ms
        self._counters.add("submissions_after_cancellation")
        _log.info(
            "submission_after_cancellation",
            workflow=workflow.workflow_id,
            queue=workflow.queue,
            cancelled_ms_ago=age_ms,
        )

    def has_recent_tombstone(self, workflow_id):
        """Return whether an unknown workflow was cancelled recently."""
        tombstone = self._registry.tombstones.get(workflow_id)
        return (
            tombstone is not None
            and now_ms() - tombstone.made_ms < TOMBSTONE_RENEWAL_MS
        )

    async def cancel(self, workflow_id):
        """Queue the cancellation of a workflow and wait for the outcome.

        A workflow that is not known gets a :class:`Tombstone`, so that it
        can't be accepted after its caller was told that it is absent.

        :returns: A :class:`radishlanding.message.WorkflowAnswer`; refused if
            there are too many tombstones.
        :raises CallRefused: The store does not answer and no entry contains
            the cancellation, so that another leader may be asked.
        """
        item = self._cancellations.get(workflow_id)
        if item is None:
            record = self._registry.workflows.get(workflow_id)
            # An end that is not committed may be lost with this leader.
            if record is not None and record.has_committed_end:
                return found_answer(record)
            if record is None and not self.is_waiting(workflow_id):
                retry_after_s = self._tombstone_retry_after_s(workflow_id)
                if retry_after_s:
                    return refused_answer(
                        "too many cancellations of unknown workflows",
                        retry_after_s=retry_after_s,
                    )
            item = self._cancellations[workflow_id] = Submission()
            self._wake()
        return await self._wait_settled(self._cancellations, workflow_id, item)

    def _tombstone_retry_after_s(self, workflow_id):
        """Return when there is room for a tombstone, 0 if there is now."""
        tombstones = self._registry.tombstones
        waiting = len(self._cancellations)
        if workflow_id in tombstones or (
            len(tombstones) + waiting < MAX_TOMBSTONES
        ):
            return 0
        expired_ms = now_ms() - ENDED_RETENTION_MS
        self._registry.prune_tombstones(before_ms=expired_ms)
        if len(tombstones) + waiting < MAX_TOMBSTONES:
            return 0
        self._counters.add("tombstones_refused")
        oldest = next(iter(tombstones.values()), None)
        if oldest is None:
            return RETRY_AFTER_S
        return max(1, math.ceil((oldest.made_ms - expired_ms) / 1000))

    async def _wait_settled(self, items, workflow_id, item):
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await item.settled.wait()
        if item.is_recorded:
            return found_answer(self._registry.workflows[workflow_id])
        if item.is_absent:
            return WorkflowAnswer(outcome=WorkflowOutcome.ABSENT)
        if item.is_collected:
            return WorkflowAnswer(
                outcome=WorkflowOutcome.UNCERTAIN,
                reason="the store has not confirmed the entry",
            )
        if items.get(workflow_id) is item:
            del items[workflow_id]
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
        cancelled = room.take(
            self._cancellations_of(is_known=True), max_bytes=MAX_PART_BYTES
        )
        made_ms = now_ms()
        tombstones = room.take(
            (
                Tombstone(workflow_id=workflow_id, made_ms=made_ms)
                for workflow_id in self._cancellations_of(is_known=False)
            ),
            max_bytes=MAX_PART_BYTES,
        )
        for workflow_id in (
            *cancelled,
            *(item.workflow_id for item in tombstones),
        ):
            self._cancellations[workflow_id].is_collected = True
        return accepted, cancelled, tombstones

    def _cancellations_of(self, *, is_known):
        """Yield ids of cancellations that no entry contains yet.

        Those of workflows whose submission no entry contains either would
        come too early.

        :param is_known: Whether to yield those of workflows that are recorded
            or in the same entry, or those of others.
        """
        for workflow_id, item in self._cancellations.items():
            submission = self._submissions.get(workflow_id)
            if item.is_collected or (
                submission is not None and not submission.is_collected
            ):
                continue
            if is_known == (
                submission is not None
                or workflow_id in self._registry.workflows
            ):
                yield workflow_id

    def settle(self, entry):
        """Settle the submissions that a committed entry contains."""
        workflow_ids = [workflow.workflow_id for workflow in entry.accepted]
        buried = [item.workflow_id for item in entry.tombstones]
        for items, keys in (
            (self._submissions, workflow_ids),
            (self._cancellations, entry.cancelled + buried),
        ):
            for key in keys:
                item = items.pop(key, None)
                if item is not None:
                    item.is_recorded = key in self._registry.workflows
                    item.is_absent = not item.is_recorded and key in buried
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
