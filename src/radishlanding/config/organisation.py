"""An organisation and its quota."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Organisation:
    """What one organisation may use at once, over all VMs.

    :param processors: Cores of its running batch tasks.
    :param memory_mb: Memory of its running batch tasks, in mebibytes.
    :param accelerators: Accelerators of its running batch tasks.
    :param requests: Requests in flight at each entry.
    """

    processors: float
    memory_mb: int
    accelerators: int = 0
    requests: int = 256
