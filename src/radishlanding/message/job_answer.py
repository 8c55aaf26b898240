"""Reply to a message about jobs."""

import dataclasses

from radishlanding.message.job_summary import JobSummary
from radishlanding.request.outcome import Outcome


@dataclasses.dataclass(slots=True, kw_only=True)
class JobAnswer:
    """Return the outcome of a message about jobs.

    A scheduler replies with it to a :class:`SubmitJob`, :class:`ListJobs`,
    :class:`CancelJob` or :class:`DecideTask`.

    :param outcome: Whether the call was carried out, unknown if that is
        uncertain.
    :param reason: Why the call failed, or a remark on it; may be empty.
    :param jobs: The jobs that were queried.
    """

    outcome: Outcome
    reason: str
    jobs: list[JobSummary]
