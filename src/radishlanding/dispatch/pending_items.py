"""Submissions or cancellations that wait to be committed."""

import trio

from radishlanding.dispatch.answers import found_answer
from radishlanding.dispatch.answers import refused_answer
from radishlanding.message import WorkflowAnswer
from radishlanding.message.refused import STORE_UNANSWERED
from radishlanding.peer import CallRefused
from radishlanding.workflow import WorkflowOutcome

# Callers wait 3 s for an answer; this leaves them time for a retry.
ANSWER_TIMEOUT_S = 2.0


class PendingItems:
    """Hold :class:`Submission` objects by key until they are settled."""

    __slots__ = ("_items", "_registry")

    def __init__(self, *, registry):
        """Start empty.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        """
        self._items = {}
        self._registry = registry

    def __len__(self):
        """Return the number of items."""
        return len(self._items)

    def __iter__(self):
        """Iterate over the items in the order in which they came."""
        return iter(self._items.values())

    def get(self, key):
        """Return an item, or None."""
        return self._items.get(key)

    def add(self, key, item):
        """Add a :class:`Submission`."""
        self._items[key] = item

    async def wait(self, key):
        """Wait until an item is settled, and return the answer.

        One that no entry contains in time is dropped.

        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        :raises CallRefused: The item was dropped while the store does not
            answer, so that another leader may be asked.
        """
        item = self._items[key]
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
        if self._items.get(key) is item:
            del self._items[key]
        if item.is_released:
            raise CallRefused(STORE_UNANSWERED)
        return refused_answer(STORE_UNANSWERED)

    def settle(self, key, *, is_recorded):
        """Answer the callers of an item whose entry is committed.

        :param key: Key of the item, which need not be held.
        :param is_recorded: Whether its workflow is recorded; else a tombstone
            of it is.
        """
        item = self._items.pop(key, None)
        if item is not None:
            item.is_recorded = is_recorded
            item.is_absent = not is_recorded
            item.settled.set()

    def release_uncollected(self):
        """Answer all waiting callers while the store does not answer.

        What no entry contains yet is dropped and may be sent to another
        leader. The rest is uncertain until its entry is committed.
        """
        for key, item in list(self._items.items()):
            if not item.is_collected:
                del self._items[key]
                item.is_released = True
            item.settled.set()

    def close(self):
        """Answer all waiting callers; collected items stay uncertain."""
        for item in self._items.values():
            item.settled.set()
