"""An assigned attempt that is not known to run."""

import dataclasses

from radishlanding.dispatch.start_state import StartState


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitingAttempt:
    """An assigned attempt that is not known to run.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt.
    :param vm: VM that it is assigned to.
    :param age_ms: Time since this leader first saw the assignment, in
        milliseconds.
    :param state: What is known of it.
    """

    task_id: str
    attempt: int
    vm: str
    age_ms: int
    state: StartState
