"""Ask for the jobs of a scheduler's shards."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class ListJobs:
    """Ask for the jobs of a scheduler's shards.

    :param job_id: One job, or an empty string for all.
    """

    job_id: str = ""
