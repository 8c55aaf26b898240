"""Tells whether a task makes the progress that it should."""

import collections

# A task is judged over this time at least: shorter than the impairments of
# workers, which last some seconds, and longer than a restore and a look.
WINDOW_S = 1.5
# Progress is known in whole percents; the window has to hold some of them.
WINDOW_SHARE = 0.04
# Estimates are off by up to 0.9, and data on another rack takes up to 1.5
# times as long here: a sound task goes at more than this share of its speed.
STUCK_SHARE = 0.25
# Restoring a checkpoint takes 0.6 s, in which nothing proceeds.
SETTLE_S = 0.7
# Slower paces say little about the worker.
LEAST_PACE_PERCENT = 50


class ProgressMonitor:
    """Follow the progress of one attempt."""

    __slots__ = ("_began_s", "_samples")

    def __init__(self):
        """Start before the first list that names the attempt."""
        self._began_s = None
        self._samples = collections.deque()

    def observe(self, progress, *, pace_percent, now_s):
        """Take what a worker lists.

        :param progress: Share of the work that is done, in percent.
        :param pace_percent: Pace that the worker was told.
        :param now_s: A steady clock, in seconds.
        """
        if self._began_s is None:
            self._began_s = now_s
        if pace_percent < LEAST_PACE_PERCENT:
            self._samples.clear()
            self._began_s = now_s
        elif now_s - self._began_s >= SETTLE_S:
            self._samples.append((now_s, progress))

    def is_stuck(self, estimated_ms):
        """Return whether it proceeds far more slowly than estimated.

        :param estimated_ms: Estimated run time, 0 for a task that lasts.
        """
        if not estimated_ms or not self._samples:
            return False
        estimated_s = estimated_ms / 1000
        window_s = max(WINDOW_S, WINDOW_SHARE * estimated_s)
        now_s, progress = self._samples[-1]
        while len(self._samples) > 1 and (
            now_s - self._samples[1][0] >= window_s
        ):
            self._samples.popleft()
        then_s, before = self._samples[0]
        if now_s - then_s < window_s or progress >= 100:
            return False
        done_s = (progress - before) / 100 * estimated_s
        return done_s < STUCK_SHARE * (now_s - then_s)
