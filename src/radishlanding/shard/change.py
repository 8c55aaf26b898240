"""An atomic change of a shard."""

import dataclasses

from radishlanding.request import Claim
from radishlanding.task import Job
from radishlanding.task import Transition


@dataclasses.dataclass(slots=True, kw_only=True)
class Change:
    """Records that are committed together or not at all.

    :param jobs: New jobs.
    :param transitions: State transitions of tasks.
    :param claims: New claims.
    """

    jobs: list[Job] = dataclasses.field(default_factory=list)
    transitions: list[Transition] = dataclasses.field(default_factory=list)
    claims: list[Claim] = dataclasses.field(default_factory=list)

    def conflict_keys(self):
        """Return the keys of the changed items.

        Changes that share a key cannot go into the same segment.
        """
        return {
            *(("job", job.job_id) for job in self.jobs),
            *(("task", item.task_id) for item in self.transitions),
            *(("claim", claim.key) for claim in self.claims),
        }

    def applies_to(self, state):
        """Return whether the change is valid in a state.

        :param state: A :class:`ShardState`.
        """
        return (
            all(job.job_id not in state.jobs for job in self.jobs)
            and all(
                item.applies_to(state.tasks.get(item.task_id))
                for item in self.transitions
            )
            and all(
                claim.attempt == state.claimed_attempt(claim.key) + 1
                for claim in self.claims
            )
        )

    def record_count(self):
        """Return the number of records."""
        return len(self.jobs) + len(self.transitions) + len(self.claims)
