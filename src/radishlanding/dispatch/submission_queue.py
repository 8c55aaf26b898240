"""Submissions and cancellations on their way to the log."""

import trio

from radishlanding.dispatch.submission import Submission
from radishlanding.message import WorkflowAnswer
from radishlanding.peer import CallRefused
from radishlanding.workflow import WorkflowOutcome

# Callers wait 3 s for an answer; this leaves them time to ask again.
ANSWER_TIMEOUT_S = 2.0
# A store that is down answers again within seconds; callers come back once a
# second until then.
RETRY_AFTER_S = 1


class SubmissionQueue:
    """Take in workflows and cancellations, and tell what became of them."""

    __slots__ = ("_cancellations", "_registry", "_submissions", "_wake")

    def __init__(self, *, registry, wake):
        """Start empty.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param wake: Callable that makes the leader collect.
        """
        self._registry = registry
        self._cancellations = {}
        self._submissions = {}
        self._wake = wake

    async def submit(self, workflow):
        """Record a workflow, or refuse it before anything is recorded.

        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        :raises CallRefused: No entry names it; another leader may be asked.
        """
        name = workflow.workflow_id
        item = self._submissions.get(name)
        if item is None:
            record = self._registry.workflows.get(name)
            if record is not None:
                return found_answer(record)
            item = self._submissions[name] = Submission(workflow=workflow)
            self._wake()
        return await self._wait_settled(self._submissions, name, item)

    async def cancel(self, workflow_id):
        """Record that a workflow is cancelled.

        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        """
        item = self._cancellations.get(workflow_id)
        if item is None:
            record = self._registry.workflows.get(workflow_id)
            if record is not None and record.phase.has_ended and record.shown:
                return found_answer(record)
            item = self._cancellations[workflow_id] = Submission()
            self._wake()
        return await self._wait_settled(self._cancellations, workflow_id, item)

    async def _wait_settled(self, items, name, item):
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            await item.settled.wait()
        if item.is_recorded:
            return found_answer(self._registry.workflows[name])
        if item.is_collected:
            return WorkflowAnswer(
                outcome=WorkflowOutcome.UNCERTAIN,
                reason="the store has not confirmed the entry",
            )
        if items.get(name) is item:
            del items[name]
        if item.is_released:
            raise CallRefused("the store does not answer")
        return refused_answer("the store does not answer")

    def collect(self):
        """Return workflows and cancellations for the next entry."""
        accepted, cancelled = [], []
        for item in self._submissions.values():
            if not item.is_collected:
                item.is_collected = True
                accepted.append(item.workflow)
        for workflow_id, item in self._cancellations.items():
            if not item.is_collected:
                item.is_collected = True
                cancelled.append(workflow_id)
        return accepted, cancelled

    def settle(self, entry):
        """Settle what an entry that is on record names."""
        names = [workflow.workflow_id for workflow in entry.accepted]
        for items, keys in (
            (self._submissions, names),
            (self._cancellations, entry.cancelled),
        ):
            for key in keys:
                item = items.pop(key, None)
                if item is not None:
                    item.is_recorded = key in self._registry.workflows
                    item.settled.set()

    def release_uncollected(self):
        """Answer all who wait, as the store does not.

        What no entry names yet may be asked of another leader. The rest is
        uncertain until its entry is on record.
        """
        for items in (self._submissions, self._cancellations):
            for name, item in list(items.items()):
                if not item.is_collected:
                    del items[name]
                    item.is_released = True
                item.settled.set()

    def close(self):
        """Settle everything; what was collected stays uncertain."""
        for items in (self._submissions, self._cancellations):
            for item in items.values():
                item.settled.set()


def found_answer(record):
    """Return the answer that a workflow is on record."""
    return WorkflowAnswer(
        outcome=WorkflowOutcome.FOUND,
        phase=record.shown,
        retry_after_s=0,
    )


def refused_answer(reason):
    """Return the answer that a question took no effect."""
    return WorkflowAnswer(
        outcome=WorkflowOutcome.REFUSED,
        retry_after_s=RETRY_AFTER_S,
        reason=reason,
    )
