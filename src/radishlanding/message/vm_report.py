"""What has changed on a VM."""

import dataclasses

from radishlanding.message.running_task import RunningTask
from radishlanding.message.task_end_report import TaskEndReport
from radishlanding.message.vm_state import VmState


@dataclasses.dataclass(slots=True, kw_only=True)
class VmReport:
    """Report changes, and ask for a longer lease.

    :param vm: Identity of the VM.
    :param is_full: Whether it names all that may run there.
    :param clock_ms: The agent's clock, in milliseconds.
    :param state: What the VM is.
    :param running: Attempts that run there.
    :param ended: Ends that are not known to be on record.
    """

    vm: str
    is_full: bool
    clock_ms: int
    state: VmState
    running: list[RunningTask] = dataclasses.field(default_factory=list)
    ended: list[TaskEndReport] = dataclasses.field(default_factory=list)
