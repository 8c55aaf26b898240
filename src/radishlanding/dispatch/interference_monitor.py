"""Trains the interference model from the reports of VMs."""

from radishlanding.message import ImageWeight
from radishlanding.observe import EventLog
from radishlanding.workflow import TaskId

_log = EventLog("radishlanding.dispatch")


class InterferenceMonitor:
    """Feed measurements to the interference model and look up weights."""

    __slots__ = ("_interference", "_registry")

    def __init__(self, *, registry, interference):
        """Initialise the monitor.

        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`.
        :param interference: The
            :class:`radishlanding.policy.Interference` to train.
        """
        self._registry = registry
        self._interference = interference

    def observe(self, session):
        """Train the model with the measurements of a VM's running tasks."""
        millicores = session.state.capacity.millicores
        serving, best_effort = [], {}
        for item in session.running.values():
            record, task = self._registry.find(item.task_id)
            # A VM that was cut off may list a task of an earlier workflow
            # with the same identity.
            if task is None or not item.gauge or not record.workflow.steps:
                continue
            parsed_id = TaskId.parse(item.task_id)
            step = record.workflow.steps[parsed_id.step]
            if step.latency_target_ms:
                share = item.gauge / step.latency_target_ms
                serving.append((item.task_id, share))
            elif step.fills and millicores:
                cpu_share = item.gauge / millicores
                best_effort[step.image] = (
                    best_effort.get(step.image, 0.0) + cpu_share
                )
        before = {
            image: self._interference.is_light(image) for image in best_effort
        }
        self._interference.observe(serving, best_effort)
        for image, was_light in before.items():
            if self._interference.is_light(image) != was_light:
                _log.info(
                    "image_weighed",
                    image=image,
                    light=not was_light,
                    weight=f"{self._interference.weight(image):.2f}",
                    vm=session.vm,
                )

    def prune_ended(self, sessions):
        """Drop the baselines of latency-critical tasks that have ended.

        :param sessions: Sessions of all VMs.
        """
        self._interference.retain_baselines(
            {task_id for session in sessions for task_id in session.running}
        )

    def image_weights(self, session):
        """Return the known weights of the best-effort images on a VM."""
        images = set()
        for task in self._registry.tasks_on(session.vm):
            parsed_id = TaskId.parse(task.task_id)
            steps = self._registry.workflows[
                parsed_id.workflow_id
            ].workflow.steps
            if steps and steps[parsed_id.step].fills:
                images.add(steps[parsed_id.step].image)
        return [
            ImageWeight(
                image=image,
                weight=self._interference.weight(image),
                is_light=self._interference.is_light(image),
            )
            for image in sorted(images)
            if self._interference.is_known(image)
        ]
