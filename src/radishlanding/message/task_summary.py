"""One task, for operators."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class TaskSummary:
    """One task, for operators.

    :param task_id: Identity of the task.
    :param state: Name of its state.
    :param epoch: Epoch of its newest assignment.
    :param vm: VM of its newest assignment.
    :param checkpoint: Newest checkpoint, or an empty string.
    :param reason: Why it is in this state, or an empty string.
    """

    task_id: str
    state: str
    epoch: int
    vm: str
    checkpoint: str
    reason: str
