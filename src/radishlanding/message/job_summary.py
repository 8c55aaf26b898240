"""One job, for operators."""

import dataclasses

from radishlanding.message.state_count import StateCount
from radishlanding.message.task_summary import TaskSummary


@dataclasses.dataclass(slots=True, kw_only=True)
class JobSummary:
    """One job, for operators.

    :param job_id: Identity of the job.
    :param organisation: Organisation that pays for the job.
    :param template: Template of its tasks.
    :param states: Number of tasks in each state.
    :param tasks: Its tasks, when one job was asked for.
    """

    job_id: str
    organisation: str
    template: str
    states: list[StateCount]
    tasks: list[TaskSummary] = dataclasses.field(default_factory=list)
