"""Ends that are on record."""

import dataclasses

from radishlanding.message.task_key import TaskKey


@dataclasses.dataclass(slots=True, kw_only=True)
class EndsRecorded:
    """Allow a worker to forget ends.

    :param vm: Identity of the VM.
    :param keys: What has ended; the epoch of each is its attempt.
    """

    vm: str
    keys: list[TaskKey]
