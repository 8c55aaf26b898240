"""First message of an agent to a scheduler."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class AgentHello:
    """Introduce an agent to a scheduler.

    An agent sends it on each new connection. The reply is a
    :class:`HelloAnswer`.

    :param vm: Identity of the VM.
    :param incarnation: Unique identity of the agent process.
    :param zone: Availability zone of the VM.
    :param rack: Rack of the VM.
    :param capacity: Total capacity of the VM.
    :param clock_ms: Time since boot on the agent's clock at sending, in
        milliseconds.
    :param revision: Revision of the configuration that the agent has in force.
    :param owner_epoch: Highest epoch of a shard owner that the agent has
        followed.
    """

    vm: str
    incarnation: str
    zone: str
    rack: str
    capacity: Capacity
    clock_ms: int
    revision: int
    owner_epoch: int
