"""Query of jobs."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ListJobs:
    """Query the jobs of a scheduler's shards.

    An entry sends it to a scheduler. The reply is a :class:`JobAnswer`.

    :param job_id: Identity of one job to return with its tasks, empty for a
        summary of the newest jobs.
    """

    job_id: str = ""
