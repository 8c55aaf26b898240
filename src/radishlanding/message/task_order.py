"""One task that a VM is to start."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskOrder:
    """Start an attempt whose assignment is on record.

    :param task_id: Name of the task.
    :param attempt: Number of the attempt.
    :param spec: What the worker is to run.
    :param reserved: What it takes from the capacity.
    :param checkpoint: Progress to resume from, or an empty string.
    :param ticket: Permit of the advisor, or an empty string.
    :param image: Name of what it runs; equal images behave alike.
    :param fills: Whether it only uses processors that others leave.
    :param millicores: Processors that it uses at full speed.
    :param latency_target_ms: Bound of its tail latency, 0 for none.
    :param estimated_ms: Rough run time, 0 for a standing task.
    """

    task_id: str
    attempt: int
    spec: str
    reserved: Capacity
    checkpoint: str = ""
    ticket: str = ""
    image: str = ""
    fills: bool = False
    millicores: int = 0
    latency_target_ms: int = 0
    estimated_ms: int = 0
