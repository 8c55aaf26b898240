"""A VM as the planner of workflows sees it."""

import dataclasses

from radishlanding.vm import Capacity
from radishlanding.workflow import Step


@dataclasses.dataclass(slots=True, kw_only=True)
class VmLoad:
    """A VM and what is on it.

    :param vm: Identity of the VM.
    :param boot: Boot of its worker.
    :param pool: Pool that it belongs to.
    :param zone: Availability zone.
    :param labels: Kind and rack of the VM.
    :param capacity: What tasks may use in all.
    :param free: What is not promised to a task.
    :param idle_millicores: Processors that probably nobody uses.
    :param serving_tasks: Tasks on it that must answer in time.
    :param best_effort_tasks: Filling tasks on it by image.
    :param headroom_cost: How much its filling tasks disturb, see
        :class:`Interference`.
    :param max_new_tasks: Tasks that it may take at most, None for any.
    :param finite_tasks: Tasks on it that do not last.
    :param best_effort_steps: Step of each filling task on it.
    :param steps: Tasks on it by workflow, occurrence and step.
    """

    vm: str
    boot: str
    pool: str
    zone: str
    labels: list[str]
    capacity: Capacity
    free: Capacity
    idle_millicores: float
    serving_tasks: int = 0
    best_effort_tasks: dict[str, int] = dataclasses.field(default_factory=dict)
    headroom_cost: float = 0.0
    max_new_tasks: int | None = None
    finite_tasks: int = 0
    best_effort_steps: list[Step] = dataclasses.field(default_factory=list)
    steps: dict[tuple[str, int, int], int] = dataclasses.field(
        default_factory=dict
    )

    def copy(self):
        """Return a load that can be changed by itself."""
        return VmLoad(
            vm=self.vm,
            boot=self.boot,
            pool=self.pool,
            zone=self.zone,
            labels=self.labels,
            capacity=self.capacity,
            free=self.free,
            idle_millicores=self.idle_millicores,
            serving_tasks=self.serving_tasks,
            best_effort_tasks=dict(self.best_effort_tasks),
            headroom_cost=self.headroom_cost,
            max_new_tasks=self.max_new_tasks,
            finite_tasks=self.finite_tasks,
            best_effort_steps=self.best_effort_steps,
            steps=dict(self.steps),
        )

    def add(self, key, step):
        """Count a task that is on it or will be.

        :param key: Workflow, occurrence and step of the task.
        :param step: The :class:`radishlanding.workflow.Step`.
        """
        self.free = self.free - step.reserved
        self.idle_millicores -= expected_millicores(step)
        self.serving_tasks += bool(step.latency_target_ms)
        self._count_filling(step, 1)
        self.steps[key] = self.steps.get(key, 0) + 1
        if self.max_new_tasks is not None:
            self.max_new_tasks -= 1

    def remove(self, key, step):
        """Take back a task that was counted."""
        self.free = self.free + step.reserved
        self.idle_millicores += expected_millicores(step)
        self.serving_tasks -= bool(step.latency_target_ms)
        self._count_filling(step, -1)
        self.steps[key] -= 1
        if self.max_new_tasks is not None:
            self.max_new_tasks += 1

    def _count_filling(self, step, change):
        if step.fills:
            known = self.best_effort_tasks.get(step.image, 0)
            self.best_effort_tasks[step.image] = known + change

    def can_fit(self, key, step):
        """Return whether it may take one more task of a step."""
        free, needs = self.free, step.needs
        return (
            free.memory_mb >= needs.memory_mb
            and free.accelerators >= needs.accelerators
            and (step.fills or free.millicores >= needs.millicores)
            and (self.max_new_tasks is None or self.max_new_tasks > 0)
            and (not step.label or step.label in self.labels)
            and (
                not step.max_per_vm or self.steps.get(key, 0) < step.max_per_vm
            )
        )

    def has_local_data(self, step):
        """Return whether the data of a step is on its rack."""
        return not step.data_rack or step.data_rack in self.labels


# A serving task is sized for its peaks; half of that is its usual use.
SERVING_USE = 0.5


def expected_millicores(step):
    """Return the processors that a task of a step probably uses."""
    if step.latency_target_ms:
        return step.needs.millicores * SERVING_USE
    return step.needs.millicores
