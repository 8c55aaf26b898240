"""What a run of a serving or filling task does to others, and suffers."""

import collections

# Figures cover the last half second.
GAUGE_WINDOW_S = 0.5


class RunLoad:
    """Play the tail latency of a serving task, or the load of a filling one.

    The spec of a task says what it is: ``serve REST_MS TARGET_MS`` has that
    tail latency at rest, ``fill ADDED_MS WORK_S`` adds to it at full pace
    and is done after that time. Any other spec has no load.
    """

    __slots__ = (
        "_samples_ms",
        "added_ms",
        "longest_violation_s",
        "violation_s",
        "baseline_ms",
        "target_ms",
        "work_s",
    )

    def __init__(self, spec):
        """Read a spec."""
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
        """Take what the filling tasks of the runner add to the tail.

        :param added_ms: Sum of what each adds at its pace.
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
        """Return whether the task only uses what others leave."""
        return self.added_ms > 0

    def reset_violations(self):
        """Begin anew with how long it was over its target."""
        self.violation_s = self.longest_violation_s = 0.0

    def gauge(self, pace):
        """Return the fifth entry of the run's row."""
        if self.target_ms:
            return int(sum(self._samples_ms) / max(1, len(self._samples_ms)))
        return int(1000 * pace) if self.is_best_effort else 0
