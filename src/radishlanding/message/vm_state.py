"""State of a VM and its worker."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class VmState:
    """State of a VM and its worker.

    A :class:`VmHello` or :class:`VmReport` contains it.

    :param boot: Boot of the worker, empty before it is known.
    :param zone: Availability zone of the VM.
    :param pool: Pool of VMs that the VM belongs to.
    :param labels: Labels of the VM: its kind and rack.
    :param capacity: Total capacity for tasks.
    :param is_draining: Whether the worker is about to leave.
    :param remaining_ms: Least time until a draining worker leaves, in
        milliseconds.
    :param is_silent: Whether the worker leaves the agent's calls unanswered.
    """

    boot: str = ""
    zone: str = ""
    pool: str = ""
    labels: list[str] = dataclasses.field(default_factory=list)
    capacity: Capacity = dataclasses.field(default_factory=Capacity)
    is_draining: bool = False
    remaining_ms: int = 0
    is_silent: bool = False
