"""Caches the load of each VM for placement decisions."""

from radishlanding.policy import step_name
from radishlanding.policy import VmLoad
from radishlanding.workflow import TaskId


class LoadCache:
    """Provide a :class:`radishlanding.policy.VmLoad` for each VM.

    Every placement round needs the loads of all VMs; only those whose tasks
    or capacity have changed are computed again.
    """

    __slots__ = ("_cache", "_interference", "_registry")

    def __init__(self, *, registry, interference):
        """Initialise an empty cache.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param interference: A :class:`radishlanding.policy.Interference`.
        """
        self._registry = registry
        self._interference = interference
        self._cache = {}

    def load(self, session):
        """Return a copy of a VM's load, which the caller may change.

        :param session: :class:`VmSession` of the VM.
        """
        state = session.state
        registry_version = self._registry.versions[session.vm]
        version, capacity, load = self._cache.get(
            session.vm, (None, None, None)
        )
        if version != registry_version or capacity != state.capacity:
            load = self._compute(session)
            self._cache[session.vm] = registry_version, state.capacity, load
        load_copy = load.copy()
        load_copy.boot, load_copy.pool = state.boot, state.pool
        load_copy.zone, load_copy.labels = state.zone, state.labels
        load_copy.headroom_cost = sum(
            self._interference.headroom_cost(step, load_copy.capacity)
            for step in load.best_effort_steps
        )
        load_copy.spare_headroom = self._interference.spare_headroom(
            load.serving_ids
        )
        return load_copy

    def _compute(self, session):
        state = session.state
        load = VmLoad(
            vm=session.vm,
            boot=state.boot,
            pool=state.pool,
            zone=state.zone,
            labels=state.labels,
            capacity=state.capacity,
            free=state.capacity,
            idle_millicores=state.capacity.millicores,
        )
        for task in self._registry.tasks_on(session.vm):
            _, step = self.step_of(task)
            load.add(TaskId.parse(task.task_id)[:3], step)
            load.finite_tasks += not step.standing
            if step.fills:
                load.best_effort_steps.append(step)
                load.best_effort_names.append(step_name(task.task_id))
            elif step.latency_target_ms:
                load.serving_ids.append(task.task_id)
        return load

    def step_of(self, task):
        """Return the workflow record and the step of a task.

        :param task: A :class:`radishlanding.workflow.TaskRecord`.
        """
        parsed_id = TaskId.parse(task.task_id)
        record = self._registry.workflows[parsed_id.workflow_id]
        return record, record.workflow.steps[parsed_id.step]
