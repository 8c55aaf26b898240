"""What a run of a serving or filling task does to others, and suffers."""

import collections

# Figures cover the last half second.
FIGURE_S = 0.5


class RunLoad:
    """Play the tail latency of a serving task, or the load of a filling one.

    The spec of a task says what it is: ``serve REST_MS TARGET_MS`` has that
    tail latency at rest, ``fill ADDED_MS WORK_S`` adds to it at full pace
    and is done after that time. Any other spec has no load.
    """

    __slots__ = (
        "_figures",
        "added_ms",
        "longest_over_s",
        "over_s",
        "rest_ms",
        "target_ms",
        "work_s",
    )

    def __init__(self, spec):
        """Read a spec."""
        kind, *numbers = spec.split() if spec else [""]
        self._figures = collections.deque()
        self.longest_over_s = 0.0
        self.over_s = 0.0
        self.added_ms = self.rest_ms = self.target_ms = 0.0
        self.work_s = None
        if kind == "serve":
            self.rest_ms, self.target_ms = map(float, numbers)
        elif kind == "fill":
            self.added_ms, self.work_s = map(float, numbers)

    def feel(self, added_ms, passed_s):
        """Take what the filling tasks of the runner add to the tail.

        :param added_ms: Sum of what each adds at its pace.
        :param passed_s: Time since the last call, in seconds.
        """
        if not self.target_ms:
            return
        tail_ms = self.rest_ms + added_ms
        self._figures.append(tail_ms)
        while len(self._figures) * passed_s > FIGURE_S:
            self._figures.popleft()
        is_over = tail_ms > self.target_ms
        self.over_s = self.over_s + passed_s if is_over else 0.0
        self.longest_over_s = max(self.longest_over_s, self.over_s)

    @property
    def is_best_effort(self):
        """Return whether the task only uses what others leave."""
        return self.added_ms > 0

    def forget(self):
        """Begin anew with how long it was over its target."""
        self.over_s = self.longest_over_s = 0.0

    def figure(self, pace):
        """Return the fifth entry of the run's row."""
        if self.target_ms:
            return int(sum(self._figures) / max(1, len(self._figures)))
        return int(1000 * pace) if self.is_best_effort else 0
