"""Load of the targets on a VM."""

import dataclasses

from radishlanding.message.target_load import TargetLoad


@dataclasses.dataclass(slots=True, kw_only=True)
class LoadReport:
    """Report the load of an agent's targets to an entry.

    An agent sends it as a notice, periodically and on changes.

    :param vm: Identity of the VM.
    :param incarnation: Unique identity of the agent process.
    :param zone: Availability zone of the VM.
    :param clock_ms: Time since boot on the agent's clock at sending, in
        milliseconds.
    :param revision: Revision of the configuration that the agent has in force.
    :param targets: Load of each target.
    """

    vm: str
    incarnation: str
    zone: str
    clock_ms: int
    revision: int
    targets: list[TargetLoad]
