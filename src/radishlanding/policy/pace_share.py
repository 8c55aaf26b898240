"""Share of their full pace at which tasks work."""

import collections

# Long enough for several ends of tasks of some seconds.
WINDOW_MS = 10_000
# Work shows at the end of a task: what ends now was assigned earlier.
LAG_MS = 5_000
SAMPLE_INTERVAL_MS = 1_000
# Never take a room for closed: tasks may be long.
MIN_SHARE = 0.1


class PaceShare:
    """Compare the work that is done with the processors assigned to it.

    Best-effort tasks are paced down beside serving tasks, so that the idle
    processors of VMs promise more than they hold.
    """

    __slots__ = ("_done_core_ms", "_samples")

    def __init__(self):
        """Start at full pace."""
        self._done_core_ms = 0.0
        # Tuples of time, work done since the last one, and millicores.
        self._samples = collections.deque()

    def observe(self, done_core_ms, *, count_millicores, now_ms):
        """Count work that has been done since the last call.

        :param done_core_ms: The work, in core-milliseconds.
        :param count_millicores: Callable that returns the processors that
            tasks are assigned to, in millicores; called once a second.
        :param now_ms: Unix time, in milliseconds.
        """
        self._done_core_ms += done_core_ms
        if self._samples and (
            0 <= now_ms - self._samples[-1][0] < SAMPLE_INTERVAL_MS
        ):
            return
        self._samples.append((now_ms, self._done_core_ms, count_millicores()))
        self._done_core_ms = 0.0
        while self._samples[0][0] < now_ms - WINDOW_MS - LAG_MS:
            self._samples.popleft()

    def share(self, now_ms):
        """Return the share, 1 until tasks have run for some seconds.

        :param now_ms: Unix time, in milliseconds.
        """
        begin_ms = max(
            (at for at, _, _ in self._samples if at <= now_ms - WINDOW_MS),
            default=None,
        )
        if begin_ms is None:
            return 1.0
        done_core_ms = sum(
            done for at, done, _ in self._samples if at > begin_ms
        )
        assigned = [
            millicores
            for at, _, millicores in self._samples
            if at <= now_ms - LAG_MS
        ]
        # Tasks of a burst that has just begun have not had time to end.
        if 2 * sum(map(bool, assigned)) < len(assigned):
            return 1.0
        mean_cores = sum(assigned) / len(assigned) / 1000
        span_ms = self._samples[-1][0] - begin_ms
        share = done_core_ms / max(mean_cores * span_ms, 1.0)
        return min(1.0, max(MIN_SHARE, share))
