"""A VM as placement sees it."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class VmView:
    """A VM that may take tasks.

    :param vm: Identity of the VM.
    :param zone: Availability zone.
    :param rack: Rack.
    :param capacity: What it holds in all.
    :param free: What is neither used nor promised.
    :param tasks_by_job: Number of tasks of each job on it.
    :param evictable: What each task uses that may give way to urgent work.
    :param draining: What evictions under way will free.
    """

    vm: str
    zone: str
    rack: str
    capacity: Capacity
    free: Capacity
    tasks_by_job: dict[str, int] = dataclasses.field(default_factory=dict)
    evictable: dict[str, Capacity] = dataclasses.field(default_factory=dict)
    draining: Capacity = Capacity()
