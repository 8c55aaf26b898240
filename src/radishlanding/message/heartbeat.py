"""Report an agent's state and ask for a longer VM lease."""

import dataclasses

from radishlanding.message.task_status import TaskStatus
from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Report an agent's state and ask for a longer VM lease.

    :param clock_ms: Clock of the agent at sending.
    :param revision: Configuration revision in force.
    :param reserved: What the VM's targets keep for themselves.
    :param tasks: Tasks on the VM.
    """

    clock_ms: int
    revision: int
    reserved: Capacity
    tasks: list[TaskStatus]
