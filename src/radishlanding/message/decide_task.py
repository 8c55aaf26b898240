"""Let an operator decide about a lost task."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class DecideTask:
    """Let an operator decide about a lost task.

    :param task_id: Identity of the task.
    :param again: True to queue it again, false to give it up.
    """

    task_id: str
    again: bool
