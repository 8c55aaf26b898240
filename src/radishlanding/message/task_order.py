"""Order to start one attempt."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskOrder:
    """Order to start one attempt.

    A :class:`StartOrders` or :class:`VmReportAck` contains it; the assignment
    is on record.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt, higher than those of earlier ones.
    :param spec: Specification for the worker, passed on unchanged; empty in
        a :class:`VmReportAck`, whose orders start nothing.
    :param reserved: Capacity that the task reserves on the VM.
    :param checkpoint: Checkpoint to resume from, empty for none.
    :param ticket: Ticket of the advisor, empty for none.
    :param image: Image that the task runs; tasks of one image behave alike.
    :param fills: Whether the task is best-effort: it only uses processors that
        others leave idle.
    :param millicores: Processor time that the task uses at full speed, in
        millicores.
    :param latency_target_ms: Target of a serving task's tail latency in
        milliseconds, 0 for other tasks.
    :param estimated_ms: Estimated run time in milliseconds, 0 for a standing
        task.
    :param spec_number: Number, from 1, of its specification in
        :class:`StartOrders`; 0 if ``spec`` contains it.
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
    spec_number: int = 0
