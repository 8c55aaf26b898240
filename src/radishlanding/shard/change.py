"""Changes that are recorded together or not at all."""

import dataclasses

from radishlanding.request import Claim
from radishlanding.task import Job
from radishlanding.task import Transition


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """What one decision wants recorded.

    :param jobs: New jobs.
    :param transitions: Changes of tasks.
    :param claims: New claims.
    """

    jobs: list[Job] = dataclasses.field(default_factory=list)
    transitions: list[Transition] = dataclasses.field(default_factory=list)
    claims: list[Claim] = dataclasses.field(default_factory=list)

    def names(self):
        """Return what is changed; two changes of one thing conflict."""
        return {
            *(("job", job.job_id) for job in self.jobs),
            *(("task", change.task_id) for change in self.transitions),
            *(("claim", claim.key) for claim in self.claims),
        }

    def fits(self, state):
        """Return whether the state allows the change."""
        return (
            all(job.job_id not in state.jobs for job in self.jobs)
            and all(
                change.fits(state.tasks.get(change.task_id))
                for change in self.transitions
            )
            and all(
                claim.attempt == state.claimed_attempt(claim.key) + 1
                for claim in self.claims
            )
        )

    def size(self):
        """Return the number of records."""
        return len(self.jobs) + len(self.transitions) + len(self.claims)
