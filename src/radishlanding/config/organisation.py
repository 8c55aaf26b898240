"""An organisation with its quota."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Organisation:
    """Limits on the concurrent use of resources by an organisation.

    :param processors: Cores of its running batch tasks on all VMs.
    :param memory_mb: Memory of its running batch tasks on all VMs, in
        mebibytes.
    :param accelerators: Accelerators of its running batch tasks on all VMs.
    :param requests: Requests in flight at each entry.
    """

    processors: float
    memory_mb: int
    accelerators: int = 0
    requests: int = 256
