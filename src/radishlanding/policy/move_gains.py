"""Compares the predicted gains of moves with the observed ones."""

# Bounds the memory for moves whose tasks have not ended yet.
MAX_MOVES = 1000


class MoveGains:
    """Measure how much sooner moved tasks end than they were predicted to.

    What would have become of a task is not known: the observed gain is that
    over the predicted end without a move.
    """

    __slots__ = ("_expected",)

    def __init__(self):
        """Start without moves."""
        # Predicted end of each task, had it stayed, by its id.
        self._expected = {}

    def record(self, move, *, now_s):
        """Record a move; the first one of a task counts.

        :param move: A :class:`Move`.
        :param now_s: Monotonic time, in seconds.
        """
        if len(self._expected) < MAX_MOVES:
            self._expected.setdefault(
                move.task.task_id, now_s + move.here_ms / 1000
            )

    def collect(self, is_done, *, now_s):
        """Return the gains of the tasks that have ended since the last call.

        :param is_done: Callable that takes the id of a task, and returns
            whether it is done, None if it will not end any more.
        :param now_s: Monotonic time, in seconds.
        :returns: Gains by task id, in milliseconds; negative for losses.
        """
        verdicts = {task_id: is_done(task_id) for task_id in self._expected}
        ended = {
            task_id: self._expected.pop(task_id)
            for task_id, verdict in verdicts.items()
            if verdict is not False
        }
        return {
            task_id: 1000 * (end_s - now_s)
            for task_id, end_s in ended.items()
            if verdicts[task_id]
        }
