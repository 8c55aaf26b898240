"""One step of a workflow."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Step:
    """Tasks that are alike and become due together.

    :param count: Number of tasks.
    :param needs: What each task may use.
    :param estimated_ms: Rough run time of a task, in milliseconds.
    :param after: Numbers of earlier steps that must be done first.
    :param checkpointing: Whether a task saves its progress.
    :param gang: Whether the tasks only work all together.
    :param same_rack: Whether the tasks run faster on one rack.
    :param label: Label that the VM must have, or an empty string.
    :param data_rack: Rack that holds the data, or an empty string.
    :param max_per_vm: Tasks of one occurrence on one VM, 0 for no limit.
    :param speculative: Whether copies of a task may run side by side.
    :param standing: Whether the tasks run until the workflow is cancelled.
    :param image: Name of what the tasks run; equal images behave alike.
    :param latency_target_ms: Bound of a serving task's tail latency, 0 for
        a task that serves nobody.
    :param fills: Whether the tasks only use processors that others leave.
    :param max_unavailable: Standing tasks that planned stops may keep away
        at the same time.
    """

    count: int
    needs: Capacity
    estimated_ms: int = 0
    after: list[int] = dataclasses.field(default_factory=list)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_vm: int = 0
    speculative: bool = False
    standing: bool = False
    image: str = ""
    latency_target_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self):
        """Return what a task takes from its VM's capacity."""
        if not self.fills:
            return self.needs
        return Capacity(
            memory_mb=self.needs.memory_mb,
            accelerators=self.needs.accelerators,
        )

    @property
    def core_ms(self):
        """Return the estimated work of all tasks, in core milliseconds."""
        return self.count * self.needs.millicores * self.estimated_ms / 1000
