"""One run of a task on a runner."""

import time

from tests.standin.run_load import RunLoad


class RunnerRun:
    """Keep what a run did, for the checks."""

    __slots__ = (
        "started_s",
        "checkpoint",
        "ended_s",
        "end_kind",
        "is_acknowledged",
        "is_lease_expired",
        "load",
        "number",
        "pace",
        "progress_s",
        "spec",
        "runs_forever",
        "task",
        "worker_id",
        "zone",
    )

    def __init__(self, *, task, number, spec, checkpoint, worker_id, zone):
        """Begin a run.

        :param task: Name of the task.
        :param number: Number of the run.
        :param spec: What it was told to run.
        :param checkpoint: Progress that it resumes, or an empty string.
        :param worker_id: Runner that runs it.
        :param zone: Availability zone of the runner.
        """
        self.started_s = time.monotonic()
        self.checkpoint = checkpoint
        self.ended_s = None
        self.end_kind = ""
        # Whether the agent let the runner forget the end, and whether the
        # runner's lease lapsed before that.
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
        """Make progress."""
        self.progress_s += passed_s * self.pace

    def finish(self, end_kind):
        """Note the end."""
        if self.ended_s is None:
            self.ended_s = time.monotonic()
            self.end_kind = end_kind

    def make_checkpoint(self):
        """Return its progress as a checkpoint."""
        return f"{self.progress_s:.2f}"

    def is_done(self, work_s):
        """Return whether it has done its work.

        :param work_s: What a task without a load of its own needs.
        """
        needed_s = self.load.work_s or work_s
        return self.progress_s >= needed_s and not self.runs_forever

    def to_row(self, work_s):
        """Return what a runner lists of it."""
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
        """Return whether two runs were there at the same time."""
        first, second = sorted((self, other), key=lambda run: run.started_s)
        return first.ended_s is None or first.ended_s > second.started_s
