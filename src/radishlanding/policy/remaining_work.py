"""What is left to do of a workflow."""

import dataclasses

# Of a step that has begun, half of a task's run time is left on average.
BEGUN_SHARE = 0.5


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RemainingWork:
    """Expected work that is left of the first occurrence of a workflow.

    :param core_ms: Work of the tasks that are not done, in core-milliseconds.
    :param total_core_ms: Work of all tasks, in core-milliseconds.
    :param path_ms: Time until its last task is done if it has the whole room
        to itself, in milliseconds.
    :param objective_ms: Time to complete within, in milliseconds.
    :param spread: Largest relative standard deviation of a step's run time.
    :param samples: Smallest weight of the observations behind a step.
    """

    core_ms: float
    total_core_ms: float
    path_ms: float
    objective_ms: float
    spread: float
    samples: float


def work_left(record, run_times, *, room_millicores):
    """Return what is left of a finite workflow.

    :param record: A :class:`radishlanding.workflow.WorkflowRecord`.
    :param run_times: A :class:`RunTimes`.
    :param room_millicores: Processors that its tasks can use.
    :returns: A :class:`RemainingWork`.
    """
    workflow = record.workflow
    is_running = record.is_under_way
    core_ms = total_core_ms = 0.0
    # End of each step's longest chain: as planned, and of what is left.
    chains_ms, paths_ms, estimates = [], [], []
    for number, step in enumerate(workflow.steps):
        estimate = run_times.estimate(workflow, number)
        estimates.append(estimate)
        left = max(0, step.count - record.done.get(f"0.{number}", 0))
        task_core_ms = step.needs.millicores * estimate.run_ms / 1000
        core_ms += left * task_core_ms
        total_core_ms += step.count * task_core_ms
        before_ms = max((chains_ms[item] for item in step.after), default=0.0)
        chains_ms.append(before_ms + estimate.run_ms)
        before_ms = max((paths_ms[item] for item in step.after), default=0.0)
        took_ms = _duration_ms(step, left, estimate.run_ms, room_millicores)
        if is_running and not before_ms:
            took_ms *= BEGUN_SHARE
        paths_ms.append(before_ms + took_ms)
    return RemainingWork(
        core_ms=core_ms,
        total_core_ms=total_core_ms,
        path_ms=max(paths_ms, default=0.0),
        objective_ms=(
            workflow.stretch * max(chains_ms, default=0.0)
            + workflow.latency_ms
        ),
        spread=max((item.spread for item in estimates), default=0.0),
        samples=min((item.samples for item in estimates), default=0.0),
    )


def total_core_ms(workflow, run_times):
    """Return the work of all tasks of one occurrence, in core-milliseconds.

    :param workflow: A :class:`radishlanding.workflow.Workflow`.
    :param run_times: A :class:`RunTimes`.
    """
    return sum(
        step.count
        * step.needs.millicores
        * run_times.estimate(workflow, number).run_ms
        / 1000
        for number, step in enumerate(workflow.steps)
    )


def _duration_ms(step, left, run_ms, room_millicores):
    """Return the time in which the rest of a step ends, in milliseconds."""
    if not left:
        return 0.0
    work_ms = left * step.needs.millicores * run_ms
    return max(run_ms, work_ms / max(room_millicores, 1.0))
