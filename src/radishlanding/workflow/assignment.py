"""Assignment of a task to a VM."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Assignment:
    """Permit one attempt of a task on one boot of a worker.

    :param task_id: Identity of the task.
    :param attempt: Number of the attempt, above all earlier ones.
    :param vm: VM that may run it.
    :param boot: Boot of the worker that may run it, an identity that changes
        with each restart.
    """

    task_id: str
    attempt: int
    vm: str
    boot: str
