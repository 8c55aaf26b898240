"""A job template."""

import dataclasses

from radishlanding.config.kind import Kind
from radishlanding.config.urgency import Urgency
from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Template:
    """What a piece of work needs and how it must be treated.

    :param organisation: Organisation that it belongs to.
    :param kind: Whether it is a request or a batch job.
    :param idempotent: Whether it may run more than once.
    :param zones: Availability zones that may run it.
    :param urgency: Whether it goes before other work.
    :param service: Service that serves the requests; requests only.
    :param deadline_ms: Time for a request's answer, in milliseconds.
    :param objective: Share of requests that are to be answered in time.
    :param processors: Cores of each task; batch only.
    :param memory_mb: Memory of each task, in mebibytes; batch only.
    :param accelerators: Accelerators of each task; batch only.
    :param checkpoint_every_s: Pause between checkpoints in seconds, 0 for
        none but those at evictions; batch only.
    :param max_tasks: Greatest number of tasks in a job; batch only.
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
        """Return what each task may use."""
        return Capacity(
            millicores=round(self.processors * 1000),
            memory_mb=self.memory_mb,
            accelerators=self.accelerators,
        )
