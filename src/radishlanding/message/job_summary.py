"""Summary of a job."""

import dataclasses

from radishlanding.message.state_count import StateCount
from radishlanding.message.task_summary import TaskSummary


@dataclasses.dataclass(slots=True, kw_only=True)
class JobSummary:
    """Summary of a job for operators, in a :class:`JobAnswer`.

    :param job_id: Identity of the job.
    :param organisation: Organisation whose quota the job uses.
    :param template: Template of the job's tasks.
    :param states: Number of tasks in each state.
    :param tasks: Tasks of the job, empty unless one job was queried.
    """

    job_id: str
    organisation: str
    template: str
    states: list[StateCount]
    tasks: list[TaskSummary] = dataclasses.field(default_factory=list)
