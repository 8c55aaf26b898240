"""Periodic report of a VM."""

import dataclasses

from radishlanding.message.running_task import RunningTask
from radishlanding.message.task_end_report import TaskEndReport
from radishlanding.message.vm_state import VmState


@dataclasses.dataclass(slots=True, kw_only=True)
class VmReport:
    """Report the attempts on a VM, and request a longer VM lease.

    An agent sends it to the leader, periodically and on changes. The reply is
    a :class:`VmReportAck`.

    :param vm: Identity of the VM.
    :param is_full: Whether the report includes every attempt that may run on
        the VM.
    :param clock_ms: Time since boot on the agent's clock at sending, in
        milliseconds.
    :param state: State of the VM and its worker.
    :param running: Attempts that are running.
    :param ended: Ends that the agent does not know to be on record.
    :param fence: Fencing token under which the attempts were listed, 0 from
        an agent that does not name it.
    """

    vm: str
    is_full: bool
    clock_ms: int
    state: VmState
    running: list[RunningTask] = dataclasses.field(default_factory=list)
    ended: list[TaskEndReport] = dataclasses.field(default_factory=list)
    fence: int = 0
