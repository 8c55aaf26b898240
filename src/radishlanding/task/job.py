"""A job: tasks of one template for one organisation."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Job:
    """What an organisation asked for, fixed when it was accepted.

    :param job_id: Identity, chosen by the caller.
    :param organisation: Organisation that pays for it.
    :param template: Template of its tasks.
    :param tasks: Number of tasks.
    :param parameters: Parameters as a JSON text.
    :param needs: What each task may use.
    :param is_idempotent: Whether a task may run again after it was lost.
    :param is_urgent: Whether its tasks go before others.
    :param zones: Availability zones that may run it.
    :param checkpoint_every_s: Pause between checkpoints, 0 for none.
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
