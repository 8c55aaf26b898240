"""Queues cancellations for the log."""

from radishlanding.dispatch.answers import found_answer
from radishlanding.dispatch.answers import refused_answer
from radishlanding.dispatch.entry_room import MAX_PART_BYTES
from radishlanding.dispatch.pending_items import PendingItems
from radishlanding.dispatch.submission import Submission
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.workflow import Tombstone


class CancellationQueue:
    """Hold cancellations until they are committed, then answer callers.

    A workflow that is not known gets a
    :class:`radishlanding.workflow.Tombstone`, so that it can't be accepted
    after its caller was told that it is absent.
    """

    __slots__ = (
        "_early_cancellations",
        "_find_submission",
        "_items",
        "_registry",
        "_wake",
    )

    def __init__(
        self, *, registry, wake, early_cancellations, find_submission
    ):
        """Initialise an empty queue.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param wake: Callable that makes the recorder collect cancellations.
        :param early_cancellations: The :class:`EarlyCancellations`.
        :param find_submission: Callable that takes the identity of a workflow
            and a :class:`radishlanding.workflow.QueueRef`, and returns the
            :class:`Submission` that waits, or None.
        """
        self._early_cancellations = early_cancellations
        self._find_submission = find_submission
        # By workflow id and name of the queue.
        self._items = PendingItems(registry=registry)
        self._registry = registry
        self._wake = wake

    async def cancel(self, workflow_id, queue):
        """Queue the cancellation of a workflow and wait for the outcome.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`radishlanding.workflow.QueueRef` of its queue.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`; refused if
            there are too many tombstones.
        :raises CallRefused: See :meth:`PendingItems.wait`.
        """
        key = (workflow_id, queue.name)
        if self._items.get(key) is None:
            answer = self._known_answer(workflow_id, queue)
            if answer is not None:
                return answer
            self._items.add(
                key, Submission(workflow_id=workflow_id, queue=queue)
            )
            self._wake()
        return await self._items.wait(key)

    def _known_answer(self, workflow_id, queue):
        """Return the answer that needs no entry, or None."""
        record = self._registry.find_workflow(workflow_id, queue)
        # An end that is not committed may be lost with this leader.
        if record is not None and record.has_committed_end:
            return found_answer(record)
        if record is not None or self._find_submission(workflow_id, queue):
            return None
        retry_after_s = self._early_cancellations.retry_after_s(
            workflow_id, queue, waiting=len(self._items)
        )
        if not retry_after_s:
            return None
        return refused_answer(
            "too many cancellations of unknown workflows",
            retry_after_s=retry_after_s,
        )

    def covers(self, workflow):
        """Return whether the cancellation of a workflow is waiting."""
        return any(
            item.workflow_id == workflow.workflow_id
            and item.queue.matches(workflow.queue_ref)
            for item in self._items
        )

    def collect(self, room):
        """Collect what the next entry has to contain.

        :param room: The :class:`EntryRoom` of the entry.
        :returns: Identities of workflows to cancel, and tombstones of unknown
            ones, as many as the entry takes.
        """
        known, unknown = self._due()
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
        return cancelled, tombstones

    def _due(self):
        """Return the cancellations that an entry may contain now.

        Those of workflows whose submission no entry contains yet would come
        too early.

        :returns: Those of workflows that are recorded or in the same entry,
            and those of others.
        """
        known, unknown = [], []
        for item in self._items:
            if item.is_collected:
                continue
            submission = self._find_submission(item.workflow_id, item.queue)
            if submission is not None:
                if submission.is_collected:
                    known.append(item)
            elif self._registry.find_workflow(item.workflow_id, item.queue):
                known.append(item)
            else:
                unknown.append(item)
        return known, unknown

    def settle(self):
        """Settle all that was collected, as its entry is committed."""
        for item in list(self._items):
            if item.is_collected:
                record = self._registry.find_workflow(
                    item.workflow_id, item.queue
                )
                self._items.settle(
                    (item.workflow_id, item.queue.name),
                    is_recorded=record is not None,
                )

    def release_uncollected(self):
        """See :meth:`PendingItems.release_uncollected`."""
        self._items.release_uncollected()

    def close(self):
        """See :meth:`PendingItems.close`."""
        self._items.close()
