"""Answer an operator's or caller's message about a job."""

import dataclasses

from radishlanding.message.job_summary import JobSummary
from radishlanding.request.outcome import Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class JobAnswer:
    """Answer an operator's or caller's message about a job.

    :param outcome: Whether it is on record.
    :param reason: Why it is not.
    :param jobs: The jobs asked for.
    """

    outcome: Outcome
    reason: str
    jobs: list[JobSummary]
