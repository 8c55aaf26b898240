"""A run of a task on a runner."""

import time

from tests.standin.run_load import RunLoad


class RunnerRun:
    """Simulate a run and record its start and end."""

    __slots__ = (
        "checkpoint",
        "end_kind",
        "ended_s",
        "is_acknowledged",
        "is_lease_expired",
        "load",
        "number",
        "pace",
        "progress_s",
        "runs_forever",
        "spec",
        "started_s",
        "task",
        "worker_id",
        "zone",
    )

    def __init__(self, *, task, number, spec, checkpoint, worker_id, zone):
        """Start a run.

        :param task: ID of the task.
        :param number: Number of the run.
        :param spec: Specification, see :class:`RunLoad`; ``stand`` and
            ``serve`` run until stopped.
        :param checkpoint: Checkpoint to resume from, or an empty string.
        :param worker_id: ID of the runner.
        :param zone: Availability zone of the runner.
        """
        self.started_s = time.monotonic()
        self.checkpoint = checkpoint
        self.ended_s = None
        self.end_kind = ""
        # Whether the agent acknowledged the end, and whether the runner's
        # lease expired before that.
        self.is_acknowledged = False
        self.is_lease_expired = False
        self.load = RunLoad(spec)
        self.number = number
        self.pace = 1.0
        self.progress_s = float(checkpoint or 0)
        self.spec = spec
        self.runs_forever = spec == "stand" or spec.startswith("serve")
        self.task = task
        self.worker_id = worker_id
        self.zone = zone

    def advance(self, passed_s):
        """Advance the progress at the current pace."""
        self.progress_s += passed_s * self.pace

    def finish(self, end_kind):
        """Record the end, unless one is recorded."""
        if self.ended_s is None:
            self.ended_s = time.monotonic()
            self.end_kind = end_kind

    def make_checkpoint(self):
        """Return the progress as a checkpoint."""
        return f"{self.progress_s:.2f}"

    def is_done(self, work_s):
        """Return whether the work is done.

        :param work_s: Work of a task whose spec names none, in seconds.
        """
        needed_s = self.load.work_s or work_s
        return self.progress_s >= needed_s and not self.runs_forever

    def to_row(self, work_s):
        """Return the row of the runner's listing.

        :param work_s: Work of a task whose spec names none, in seconds.
        """
        percent = int(100 * self.progress_s / (self.load.work_s or work_s))
        gauge = self.load.gauge(self.pace)
        return [
            self.task,
            self.number,
            self.make_checkpoint(),
            min(100, percent),
            gauge,
        ]

    def overlaps(self, other):
        """Return whether two runs ran at the same time."""
        first, second = sorted((self, other), key=lambda run: run.started_s)
        return first.ended_s is None or first.ended_s > second.started_s
