"""Record of the tasks and requests that fakes have run."""

import dataclasses
import time


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskRun:
    """A run of a task on a VM."""

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
    """An execution of a request by a target."""

    key: str
    vm: str
    zone: str
    started_s: float
    in_flight: int
    slots: int
    digest: str
    ended_s: float = float("inf")


class Record:
    """Keep runs and executions in order of start."""

    __slots__ = ("capacities", "executions", "outages", "runs")

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
        """Return whether an outage may have prevented the report of an end.

        :param run: A run that has ended.
        :param report_delay_s: Time from an end to its report, in seconds.
        """
        return any(
            vm == run.vm and since_s - report_delay_s <= run.ended_s <= until_s
            for vm, since_s, until_s in self.outages
        )

    def running(self):
        """Return the runs that have not ended."""
        return [run for run in self.runs if run.ended_s == float("inf")]


def now_s():
    """Return the monotonic clock that all records use, in seconds."""
    return time.monotonic()
