"""Detects task attempts that make too little progress."""

import collections

# Shortest window. Impairments of workers last some seconds; restoring a
# checkpoint and waiting for the next listing takes less than this.
MIN_WINDOW_S = 1.5
# Progress is reported in whole percents; the window has to span some of them.
MIN_WINDOW_SHARE = 0.04
# Estimates are off by up to 0.9 of their value, and data on another rack
# takes up to 1.5 times as long: a healthy task exceeds this share of its
# estimated speed.
STUCK_SPEED_SHARE = 0.25
# Restoring a checkpoint takes 0.6 s without progress.
RESTORE_GRACE_S = 0.7
# At slower paces progress says little about the worker.
MIN_PACE_PERCENT = 50


class ProgressMonitor:
    """Track the progress of one attempt."""

    __slots__ = ("_samples", "_start_s")

    def __init__(self):
        """Start before the first listing that names the attempt."""
        self._start_s = None
        self._samples = collections.deque()

    def observe(self, progress, *, pace_percent, now_s):
        """Add the progress that a worker lists.

        :param progress: Share of the work that is done, in percent.
        :param pace_percent: Pace that the worker was ordered, in percent.
        :param now_s: Monotonic time, in seconds.
        """
        if self._start_s is None:
            self._start_s = now_s
        if pace_percent < MIN_PACE_PERCENT:
            self._samples.clear()
            self._start_s = now_s
        elif now_s - self._start_s >= RESTORE_GRACE_S:
            self._samples.append((now_s, progress))

    def is_stuck(self, estimated_ms):
        """Return whether the attempt is far slower than estimated.

        :param estimated_ms: Estimated run time, in milliseconds; 0 for a
            task without an end.
        """
        if not estimated_ms or not self._samples:
            return False
        estimated_s = estimated_ms / 1000
        window_s = max(MIN_WINDOW_S, MIN_WINDOW_SHARE * estimated_s)
        now_s, progress = self._samples[-1]
        while len(self._samples) > 1 and (
            now_s - self._samples[1][0] >= window_s
        ):
            self._samples.popleft()
        then_s, before = self._samples[0]
        if now_s - then_s < window_s or progress >= 100:
            return False
        done_s = (progress - before) / 100 * estimated_s
        return done_s < STUCK_SPEED_SHARE * (now_s - then_s)
