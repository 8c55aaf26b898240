"""Tell an entry what an agent's targets can take."""

import dataclasses

from radishlanding.message.target_load import TargetLoad


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadReport:
    """Tell an entry what an agent's targets can take.

    :param vm: Identity of the VM.
    :param incarnation: Unique identity of the agent process.
    :param zone: Availability zone of the VM.
    :param clock_ms: Clock of the agent at sending.
    :param revision: Configuration revision in force.
    :param targets: Load of each target.
    """

    vm: str
    incarnation: str
    zone: str
    clock_ms: int
    revision: int
    targets: list[TargetLoad]
