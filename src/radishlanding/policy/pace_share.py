"""Share of their full pace at which tasks work."""

import collections

# Long enough for several ends of tasks of some seconds.
WINDOW_MS = 10_000
# Work shows at the end of a task: what ends now was assigned earlier.
LAG_MS = 5_000
SAMPLE_INTERVAL_MS = 1_000
# Never take a room for closed: tasks may be long.
MIN_SHARE = 0.1
# Tasks that are expected to run longer count as working at full pace: the
# samples of the last minutes do not show their ends.
MAX_RUN_MS = 120_000
# Window and lag in run times: for shorter ones all tasks of a burst may have
# run at full pace without an end.
WINDOW_RUNS = 2
LAG_RUNS = 1
KEPT_MS = (WINDOW_RUNS + LAG_RUNS) * MAX_RUN_MS


class PaceShare:
    """Compare the work that is done with the processors assigned to it.

    Best-effort tasks are paced down beside serving tasks, so that the idle
    processors of VMs promise more than they hold.
    """

    __slots__ = ("_done_core_ms", "_samples")

    def __init__(self):
        """Start at full pace."""
        self._done_core_ms = 0.0
        # Tuples of time, work done since the last one, and assigned work.
        self._samples = collections.deque()

    def observe(self, done_core_ms, *, count_assigned, now_ms):
        """Count work that has been done since the last call.

        :param done_core_ms: The work, in core-milliseconds.
        :param count_assigned: Callable that returns the
            :class:`AssignedWork` of all tasks; called once a second.
        :param now_ms: Unix time, in milliseconds.
        """
        self._done_core_ms += done_core_ms
        # A clock that was set back leaves samples of later times.
        while self._samples and self._samples[-1][0] > now_ms:
            self._samples.pop()
        if self._samples and (
            0 <= now_ms - self._samples[-1][0] < SAMPLE_INTERVAL_MS
        ):
            return
        self._samples.append((now_ms, self._done_core_ms, count_assigned()))
        self._done_core_ms = 0.0
        while self._samples[0][0] < now_ms - KEPT_MS:
            self._samples.popleft()

    def share(self, now_ms):
        """Return the share, 1 until tasks have run for some seconds.

        :param now_ms: Unix time, in milliseconds.
        """
        run_ms = self._run_ms(now_ms)
        if run_ms > MAX_RUN_MS:
            return 1.0
        window_ms = max(WINDOW_MS, WINDOW_RUNS * run_ms)
        lag_ms = max(LAG_MS, LAG_RUNS * run_ms)
        begin_ms = max(
            (at for at, _, _ in self._samples if at <= now_ms - window_ms),
            default=None,
        )
        if begin_ms is None:
            return 1.0
        done_core_ms = sum(
            done for at, done, _ in self._samples if at > begin_ms
        )
        assigned = [
            work.millicores
            for at, _, work in self._samples
            if now_ms - window_ms - lag_ms <= at <= now_ms - lag_ms
        ]
        # Tasks of a burst that has just begun have not had time to end.
        if 2 * sum(map(bool, assigned)) < len(assigned):
            return 1.0
        mean_cores = sum(assigned) / len(assigned) / 1000
        span_ms = self._samples[-1][0] - begin_ms
        share = done_core_ms / max(mean_cores * span_ms, 1.0)
        return min(1.0, max(MIN_SHARE, share))

    def _run_ms(self, now_ms):
        """Return the longest mean run time of the last seconds."""
        return max(
            (
                work.mean_run_ms
                for at, _, work in self._samples
                if at >= now_ms - WINDOW_MS - LAG_MS
            ),
            default=0.0,
        )
