"""Cancel the tasks of a job that have not ended."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class CancelJob:
    """Cancel the tasks of a job that have not ended.

    :param job_id: Identity of the job.
    """

    job_id: str
