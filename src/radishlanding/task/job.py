"""A job: tasks of one template, submitted by one organisation."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """A submitted job; it does not change after its acceptance.

    :param job_id: Identity, chosen by the caller.
    :param organisation: Organisation whose quota it uses.
    :param template: Template of its tasks.
    :param tasks: Number of tasks.
    :param parameters: Parameters of the tasks, as JSON.
    :param needs: Capacity that each task may use.
    :param is_idempotent: Whether the scheduler may run a task again that
        failed or may have run in part.
    :param is_urgent: Whether its tasks take precedence over other tasks.
    :param zones: Availability zones that may run it.
    :param checkpoint_every_s: Interval between checkpoints, in seconds, 0 for
        none.
    """

    job_id: str
    organisation: str
    template: str
    tasks: int
    parameters: str
    needs: Capacity
    is_idempotent: bool
    is_urgent: bool
    zones: list[str]
    checkpoint_every_s: float = 0.0
