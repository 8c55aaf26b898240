"""A job template."""

import dataclasses

from radishlanding.config.kind import Kind
from radishlanding.config.urgency import Urgency
from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Template:
    """Resource needs and scheduling parameters of requests or batch jobs.

    :param organisation: Name of the organisation that owns it.
    :param kind: Whether it describes requests or batch jobs.
    :param idempotent: Whether the work may run more than once.
    :param zones: Availability zones in which the work may run.
    :param urgency: Whether the work is scheduled before other work.
    :param service: Service that serves the requests; requests only.
    :param deadline_ms: Deadline of a request, in milliseconds; requests only.
    :param objective: Share of requests to be answered by their deadline;
        requests only.
    :param processors: Cores of each task; batch only.
    :param memory_mb: Memory of each task, in mebibytes; batch only.
    :param accelerators: Accelerators of each task; batch only.
    :param checkpoint_every_s: Interval between checkpoints in seconds; 0 for
        checkpoints at evictions only; batch only.
    :param max_tasks: Maximum number of tasks of a job; batch only.
    """

    organisation: str
    kind: Kind
    idempotent: bool
    zones: list[str]
    urgency: Urgency = Urgency.NORMAL
    service: str = ""
    deadline_ms: int = 0
    objective: float = 0.99
    processors: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0
    checkpoint_every_s: float = 0.0
    max_tasks: int = 10_000

    @property
    def needs(self):
        """Return the resources of each task as a :class:`Capacity`."""
        return Capacity(
            millicores=round(self.processors * 1000),
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )
