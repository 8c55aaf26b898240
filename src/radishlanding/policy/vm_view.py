"""A VM as seen by placement."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class VmView:
    """State of a VM that may take tasks.

    :param vm: Identity of the VM.
    :param zone: Availability zone.
    :param rack: Rack.
    :param capacity: Total capacity.
    :param free: Capacity that is neither used nor reserved.
    :param tasks_by_job: Number of tasks on it by job.
    :param evictable: Capacity used by each task that may be evicted for
        urgent work, by task id.
    :param draining: Capacity that pending evictions will free.
    """

    vm: str
    zone: str
    rack: str
    capacity: Capacity
    free: Capacity
    tasks_by_job: dict[str, int] = dataclasses.field(default_factory=dict)
    evictable: dict[str, Capacity] = dataclasses.field(default_factory=dict)
    draining: Capacity = Capacity()
