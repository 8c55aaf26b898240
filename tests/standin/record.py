"""What the stand-ins saw run, where and when."""

import dataclasses
import time


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskRun:
    """One run of a task on a VM."""

    task_id: str
    epoch: int
    vm: str
    zone: str
    millicores: int
    memory_mb: int
    accelerators: int
    resumed_from: str
    started_s: float
    ended_s: float = float("inf")
    end_state: str = ""
    was_evicted: bool = False
    checkpoints: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True, kw_only=True)
class Execution:
    """One execution of a request at a target."""

    key: str
    vm: str
    zone: str
    started_s: float
    in_flight: int
    slots: int
    digest: str
    ended_s: float = float("inf")


class Record:
    """Hold runs and executions in the order in which they began."""

    __slots__ = ("capacities", "executions", "runs", "outages")

    def __init__(self):
        """Start empty."""
        self.capacities = {}
        self.runs: list[TaskRun] = []
        self.outages: list[tuple[str, float, float]] = []
        self.executions: list[Execution] = []

    def executions_of(self, key):
        """Return the executions of a request."""
        return [item for item in self.executions if item.key == key]

    def runs_of(self, task_id):
        """Return the runs of a task."""
        return [run for run in self.runs if run.task_id == task_id]

    def was_unreported(self, run, *, report_delay_s):
        """Return whether a run's end could not be reported in time.

        :param run: A run that has ended.
        :param report_s: Time that a report takes, in seconds.
        """
        return any(
            vm == run.vm and since_s - report_delay_s <= run.ended_s <= until_s
            for vm, since_s, until_s in self.outages
        )

    def running(self):
        """Return the runs that have not ended."""
        return [run for run in self.runs if run.ended_s == float("inf")]


def now_s():
    """Return the clock of the record, in seconds."""
    return time.monotonic()
