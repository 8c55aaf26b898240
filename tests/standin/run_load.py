"""Simulated latency of serving tasks and load of best-effort tasks."""

import collections

GAUGE_WINDOW_S = 0.5


class RunLoad:
    """Simulate the tail latency or the load of one task.

    ``serve BASELINE_MS TARGET_MS`` is a serving task with that tail latency
    when it runs alone. ``fill ADDED_MS WORK_S`` is a best-effort task, which
    adds to the latency of serving tasks at full pace and is done after that
    much work. Any other spec has no load.
    """

    __slots__ = (
        "_samples_ms",
        "added_ms",
        "baseline_ms",
        "longest_violation_s",
        "target_ms",
        "violation_s",
        "work_s",
    )

    def __init__(self, spec):
        """Parse a spec."""
        kind, *numbers = spec.split() if spec else [""]
        self._samples_ms = collections.deque()
        self.longest_violation_s = 0.0
        self.violation_s = 0.0
        self.added_ms = self.baseline_ms = self.target_ms = 0.0
        self.work_s = None
        if kind == "serve":
            self.baseline_ms, self.target_ms = map(float, numbers)
        elif kind == "fill":
            self.added_ms, self.work_s = map(float, numbers)

    def update_latency(self, added_ms, passed_s):
        """Update the tail latency and the time over the target.

        :param added_ms: Latency added by the runner's best-effort tasks, each
            at its pace, in milliseconds.
        :param passed_s: Time since the last call, in seconds.
        """
        if not self.target_ms:
            return
        tail_ms = self.baseline_ms + added_ms
        self._samples_ms.append(tail_ms)
        while len(self._samples_ms) * passed_s > GAUGE_WINDOW_S:
            self._samples_ms.popleft()
        is_over = tail_ms > self.target_ms
        self.violation_s = self.violation_s + passed_s if is_over else 0.0
        self.longest_violation_s = max(
            self.longest_violation_s, self.violation_s
        )

    @property
    def is_best_effort(self):
        """Return whether the task is a best-effort task."""
        return self.added_ms > 0

    def reset_violations(self):
        """Reset the times over the target."""
        self.violation_s = self.longest_violation_s = 0.0

    def gauge(self, pace):
        """Return the gauge of the listing.

        :returns: Tail latency in milliseconds for a serving task, used
            millicores for a best-effort task, 0 for others.
        """
        if self.target_ms:
            return int(sum(self._samples_ms) / max(1, len(self._samples_ms)))
        return int(1000 * pace) if self.is_best_effort else 0
