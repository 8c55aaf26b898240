"""What an agent says of its VM."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class VmState:
    """A worker and the VM that it runs on.

    :param boot: Boot of the worker, empty before it is known.
    :param zone: Availability zone.
    :param pool: Pool of VMs that it belongs to.
    :param labels: Kind and rack of the VM.
    :param capacity: What tasks may use in all.
    :param is_draining: Whether the worker is about to leave.
    :param remaining_ms: Time that is left at least when it is draining, in
        milliseconds.
    """

    boot: str = ""
    zone: str = ""
    pool: str = ""
    labels: list[str] = dataclasses.field(default_factory=list)
    capacity: Capacity = dataclasses.field(default_factory=Capacity)
    is_draining: bool = False
    remaining_ms: int = 0
