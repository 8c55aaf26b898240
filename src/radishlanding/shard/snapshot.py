"""A chunk of a shard's state, as it is stored."""

import dataclasses

from radishlanding.request import Claim
from radishlanding.task import Job
from radishlanding.task import Task


@dataclasses.dataclass(slots=True, kw_only=True)
class Snapshot:
    """One chunk of a snapshot of a shard.

    :param last_made_s: Unix time of the newest segment, in seconds.
    :param jobs: Jobs.
    :param tasks: Tasks.
    :param claims: Claims.
    :param ended_s: Unix time of each task's end, in seconds, by task.
    """

    last_made_s: float = 0.0
    jobs: list[Job] = dataclasses.field(default_factory=list)
    tasks: list[Task] = dataclasses.field(default_factory=list)
    claims: list[Claim] = dataclasses.field(default_factory=list)
    ended_s: dict[str, float] = dataclasses.field(default_factory=dict)
