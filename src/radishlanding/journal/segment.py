"""A segment: one commit of a shard."""

import dataclasses

from radishlanding.request import Claim
from radishlanding.task import Job
from radishlanding.task import Transition


@dataclasses.dataclass(slots=True, kw_only=True)
class Segment:
    """A batch of changes, stored in one write.

    :param number: Position in the shard's journal, from 1.
    :param writer: Identity of the scheduler process that wrote it.
    :param commit_id: Unique identity of this write.
    :param owner_epoch: Epoch of the writer's ownership, see
        :meth:`Journal.open`.
    :param made_s: Unix time of the write, in seconds; retention counts from
        it.
    :param jobs: Accepted jobs.
    :param transitions: State transitions of tasks.
    :param claims: Claims of requests.
    """

    number: int
    writer: str
    commit_id: str
    owner_epoch: int
    made_s: float
    jobs: list[Job] = dataclasses.field(default_factory=list)
    transitions: list[Transition] = dataclasses.field(default_factory=list)
    claims: list[Claim] = dataclasses.field(default_factory=list)
