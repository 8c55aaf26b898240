"""Submission of a job."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SubmitJob:
    """Submit a job.

    An entry sends it to the owner of the job's shard. The reply is a
    :class:`JobAnswer`.

    :param job_id: Identity of the job, chosen by the caller.
    :param organisation: Organisation whose quota the job uses.
    :param template: Template of the job's tasks.
    :param tasks: Number of tasks.
    :param parameters: Parameters of the job, as JSON text.
    """

    job_id: str
    organisation: str
    template: str
    tasks: int
    parameters: str
