"""Cancellation of a job."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class CancelJob:
    """Cancel the tasks of a job that have not ended.

    An entry sends it to the owner of the job's shard. The reply is a
    :class:`JobAnswer`.

    :param job_id: Identity of the job.
    """

    job_id: str
