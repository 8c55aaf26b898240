"""Lets expired workflows end at last."""

# An expired workflow goes first after this multiple of its objective, and
# after 30 s at least: most overloads end earlier.
AGED_FACTOR = 6.0
MIN_AGED_MS = 30_000
# One workflow of a queue each time, so that those which can still end in time
# keep most of the capacity.
INTERVAL_MS = 10_000


class Ageing:
    """Choose the expired workflows that go before all others.

    In a lasting overload they would otherwise never be done.
    """

    __slots__ = ("_chosen", "_since_ms")

    def __init__(self):
        """Start without a choice."""
        # Identity of the workflow, and time of the choice, by queue.
        self._chosen = {}
        self._since_ms = {}

    def choose(self, items, *, now_ms):
        """Return the chosen items, one of each queue at most.

        A choice holds until the workflow ends.

        :param items: :class:`OpenWorkflow` objects.
        :param now_ms: Unix time, in milliseconds.
        """
        by_id = {item.record.workflow.workflow_id: item for item in items}
        found = {
            by_id[workflow_id]
            for workflow_id in self._chosen.values()
            if workflow_id in by_id
        }
        # A clock that was set back must not delay the next choice.
        self._since_ms = {
            queue: since_ms
            for queue, since_ms in self._since_ms.items()
            if since_ms <= now_ms
        }
        busy = {item.record.workflow.queue for item in found}
        for item in sorted(items, key=lambda item: item.due_ms):
            queue = item.record.workflow.queue
            if queue in busy or not _is_aged(item, now_ms):
                continue
            if now_ms - self._since_ms.get(queue, 0) < INTERVAL_MS:
                continue
            self._chosen[queue] = item.record.workflow.workflow_id
            self._since_ms[queue] = now_ms
            busy.add(queue)
            found.add(item)
        return found


def _is_aged(item, now_ms):
    age_ms = now_ms - item.record.workflow.accepted_ms
    return item.is_expired and (
        age_ms > max(AGED_FACTOR * item.objective_ms, MIN_AGED_MS)
    )
