"""Introduce an agent to a scheduler."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentHello:
    """Introduce an agent to a scheduler.

    :param vm: Identity of the VM.
    :param incarnation: Unique identity of this agent process.
    :param zone: Availability zone of the VM.
    :param rack: Rack of the VM.
    :param capacity: What the VM holds in all.
    :param clock_ms: Clock of the agent.
    :param revision: Configuration revision in force.
    :param owner_epoch: Highest epoch of an owner that it followed.
    """

    vm: str
    incarnation: str
    zone: str
    rack: str
    capacity: Capacity
    clock_ms: int
    revision: int
    owner_epoch: int
