"""A VM as seen by the workflow planner."""

import dataclasses

from radishlanding.policy.interference import DEFAULT_SPARE_HEADROOM
from radishlanding.policy.refusal import Refusal
from radishlanding.vm import Capacity
from radishlanding.workflow import Step


@dataclasses.dataclass(slots=True, kw_only=True)
class VmLoad:
    """State of a VM with the tasks on it, including planned ones.

    :param vm: Identity of the VM.
    :param boot: Current boot of its worker.
    :param pool: Pool that it belongs to.
    :param zone: Availability zone.
    :param labels: Labels of the VM, its kind and, last, its rack.
    :param capacity: Total capacity for tasks.
    :param free: Capacity that no task reserves.
    :param idle_millicores: Processors that are expected to be idle, in
        millicores.
    :param serving_tasks: Number of latency-critical tasks on it.
    :param best_effort_tasks: Number of best-effort tasks on it by image.
    :param headroom_cost: Headroom that its best-effort tasks take, see
        :class:`Interference`.
    :param spare_headroom: Headroom that its serving tasks can spare.
    :param max_new_tasks: Further tasks that it may take, None for any.
    :param is_probed: Whether that limits probes after a quarantine.
    :param is_stuck: Whether its tasks make no progress.
    :param trust: Trust in it from 0 to 1, see :class:`VmTrust`.
    :param planned_tasks: Number of tasks added since the load was copied.
    :param finite_tasks: Number of tasks on it that are not standing.
    :param best_effort_steps: Step of each best-effort task on it.
    :param best_effort_names: Name of each of these steps, see
        :func:`step_name`.
    :param serving_ids: Identity of each serving task on it.
    :param steps: Number of tasks on it by workflow, occurrence and step.
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
    spare_headroom: float = DEFAULT_SPARE_HEADROOM
    max_new_tasks: int | None = None
    is_probed: bool = False
    is_stuck: bool = False
    trust: float = 1.0
    planned_tasks: int = 0
    finite_tasks: int = 0
    best_effort_steps: list[Step] = dataclasses.field(default_factory=list)
    best_effort_names: list[str] = dataclasses.field(default_factory=list)
    serving_ids: list[str] = dataclasses.field(default_factory=list)
    steps: dict[tuple[str, int, int], int] = dataclasses.field(
        default_factory=dict
    )

    def copy(self):
        """Return a copy whose counts change independently."""
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
            spare_headroom=self.spare_headroom,
            max_new_tasks=self.max_new_tasks,
            is_probed=self.is_probed,
            is_stuck=self.is_stuck,
            trust=self.trust,
            finite_tasks=self.finite_tasks,
            best_effort_steps=self.best_effort_steps,
            best_effort_names=self.best_effort_names,
            serving_ids=self.serving_ids,
            steps=dict(self.steps),
        )

    def add(self, key, step):
        """Count a task that is on the VM or planned for it.

        ``headroom_cost``, ``finite_tasks``, ``best_effort_steps``,
        ``best_effort_names`` and ``serving_ids`` are left to the caller.

        :param key: Workflow, occurrence and step of the task.
        :param step: The :class:`radishlanding.workflow.Step`.
        """
        self.free = self.free - step.reserved
        self.idle_millicores -= expected_millicores(step)
        self.serving_tasks += bool(step.latency_target_ms)
        self._count_best_effort(step, 1)
        self.steps[key] = self.steps.get(key, 0) + 1
        self.planned_tasks += 1
        if self.max_new_tasks is not None:
            self.max_new_tasks -= 1

    def remove(self, key, step):
        """Undo :meth:`add` for one task."""
        self.free = self.free + step.reserved
        self.idle_millicores += expected_millicores(step)
        self.serving_tasks -= bool(step.latency_target_ms)
        self._count_best_effort(step, -1)
        self.steps[key] -= 1
        self.planned_tasks -= 1
        if self.max_new_tasks is not None:
            self.max_new_tasks += 1

    def _count_best_effort(self, step, change):
        if step.fills:
            known = self.best_effort_tasks.get(step.image, 0)
            self.best_effort_tasks[step.image] = known + change

    def can_fit(self, key, step):
        """Return whether the VM may take one more task of a step.

        :param key: Workflow, occurrence and step of the task.
        :param step: The :class:`radishlanding.workflow.Step`.
        """
        return self.refusal(key, step) is None

    def refusal(self, key, step, *, exceeds_probes=False):
        """Return why the VM cannot take one more task, or None.

        :param key: Workflow, occurrence and step of the task.
        :param step: The :class:`radishlanding.workflow.Step`.
        :param exceeds_probes: Whether a VM that is probed may take more than
            one task at a time.
        :returns: A :class:`Refusal` or None.
        """
        free, needs = self.free, step.needs
        if free.memory_mb < needs.memory_mb:
            return Refusal.MEMORY
        if free.accelerators < needs.accelerators:
            return Refusal.ACCELERATORS
        if not step.fills and free.millicores < needs.millicores:
            return Refusal.PROCESSORS
        if self.has_all_new_tasks and not (exceeds_probes and self.is_probed):
            return Refusal.QUARANTINE
        if step.label and step.label not in self.labels:
            return Refusal.LABEL
        if step.max_per_vm and self.steps.get(key, 0) >= step.max_per_vm:
            return Refusal.TASKS_PER_VM
        return None

    @property
    def has_all_new_tasks(self):
        """Return whether its health allows no further task."""
        return self.max_new_tasks is not None and self.max_new_tasks <= 0

    def suits(self, step):
        """Return whether the VM could take a task of a step if it were idle.

        :param step: The :class:`radishlanding.workflow.Step`.
        """
        total, needs = self.capacity, step.needs
        return (
            total.memory_mb >= needs.memory_mb
            and total.accelerators >= needs.accelerators
            and (step.fills or total.millicores >= needs.millicores)
            and (not step.label or step.label in self.labels)
        )

    def has_local_data(self, step):
        """Return whether the data of a step is on the VM's rack."""
        return not step.data_rack or step.data_rack in self.labels


# Serving tasks are sized for peak load; they usually use half of that.
SERVING_USE_SHARE = 0.5


def expected_millicores(step):
    """Return the millicores that a task of a step is expected to use."""
    if step.latency_target_ms:
        return step.needs.millicores * SERVING_USE_SHARE
    return step.needs.millicores
