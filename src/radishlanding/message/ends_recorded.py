"""Notice of ended attempts that are on record."""

import dataclasses

from radishlanding.message.task_key import TaskKey


@dataclasses.dataclass(slots=True, kw_only=True)
class EndsRecorded:
    """Tell an agent which reported ends are on record.

    A leader sends it as a notice. The agent need not report these ends again,
    and its worker may forget them.

    :param vm: Identity of the VM.
    :param keys: Ended attempts; the epoch of each key is its attempt.
    """

    vm: str
    keys: list[TaskKey]
