"""Step of a workflow."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Step:
    """Group of equal tasks that become ready together.

    :param count: Number of tasks.
    :param needs: Capacity that each task may use.
    :param estimated_ms: Estimated run time of a task, in milliseconds.
    :param after: Numbers of the earlier steps that it depends on.
    :param checkpointing: Whether a task saves checkpoints.
    :param gang: Whether the tasks only run all together.
    :param same_rack: Whether the tasks run faster on one rack.
    :param label: Label that a VM must have, empty for none.
    :param data_rack: Rack that holds the input data, empty for none.
    :param max_per_vm: Tasks of one occurrence on one VM, 0 for no limit.
    :param speculative: Whether copies of a task may run concurrently.
    :param standing: Whether the tasks run until the workflow is cancelled.
    :param image: Image that the tasks run; tasks of one image behave alike.
    :param latency_target_ms: Target of the tail latency of a serving
        (latency-critical) task, in milliseconds; 0 for other tasks.
    :param fills: Whether the tasks are best-effort: they only use
        processors that others leave idle.
    :param max_unavailable: Number of standing tasks that planned stops may
        take down at the same time.
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
        """Return the capacity that a task reserves on its VM."""
        if not self.fills:
            return self.needs
        return Capacity(
            memory_mb=self.needs.memory_mb,
            accelerators=self.needs.accelerators,
        )

    @property
    def core_ms(self):
        """Return the estimated work of all tasks, in core-milliseconds."""
        return self.count * self.needs.millicores * self.estimated_ms / 1000
