"""Start orders that reports of a VM may not show yet."""


class OrdersInFlight:
    """Hold the start orders that were sent on one connection.

    An order is on its way until the agent answers it; one without an answer
    may be read as long as the connection lasts. The attempt is in every
    report that the agent makes after it has taken the order.
    """

    __slots__ = ("_taken_ms", "_unanswered")

    def __init__(self):
        """Start without orders."""
        self._taken_ms = {}
        self._unanswered = set()

    def __len__(self):
        """Return the number of orders that a report may lack."""
        return len(self._unanswered) + len(self._taken_ms)

    def add(self, task_id, attempt):
        """Record that an order is being sent.

        :param task_id: Identity of the task.
        :param attempt: Number of the attempt.
        """
        self._unanswered.add((task_id, attempt))

    def answer(self, task_id, attempt, *, clock_ms):
        """Record that the agent has answered an order, or is not sent it.

        :param task_id: Identity of the task.
        :param attempt: Number of the attempt.
        :param clock_ms: Agent's clock at that time, in milliseconds.
        """
        self._unanswered.discard((task_id, attempt))
        self._taken_ms[task_id, attempt] = clock_ms

    def may_be_missing(self, task_id, attempt, *, clock_ms):
        """Return whether a full report that lacks an attempt shows its end.

        It does not if it may be older than the attempt's start order.

        :param task_id: Identity of the task.
        :param attempt: Number of the attempt.
        :param clock_ms: Agent's clock when it made the report, in
            milliseconds.
        """
        key = task_id, attempt
        return (
            key not in self._unanswered
            and self._taken_ms.get(key, 0) < clock_ms
        )

    def prune(self, *, clock_ms):
        """Drop the orders that every later report covers.

        :param clock_ms: Agent's clock when it made a report that has
            arrived, in milliseconds.
        """
        self._taken_ms = {
            key: taken_ms
            for key, taken_ms in self._taken_ms.items()
            if taken_ms >= clock_ms
        }
