"""Record a job."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class SubmitJob:
    """Record a job.

    :param job_id: Identity of the job, chosen by the caller.
    :param organisation: Organisation that pays for the job.
    :param template: Template of its tasks.
    :param tasks: Number of tasks.
    :param parameters: Parameters as a JSON text.
    """

    job_id: str
    organisation: str
    template: str
    tasks: int
    parameters: str
