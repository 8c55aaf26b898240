"""What an owner knows of one agent."""

import dataclasses

from radishlanding.message import TaskStatus
from radishlanding.peer import Connection
from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class AgentSession:
    """An accepted agent.

    :param vm: Identity of its VM.
    :param incarnation: Unique identity of the agent process.
    :param zone: Availability zone of the VM.
    :param rack: Rack of the VM.
    :param capacity: What the VM holds in all.
    :param conn: Connection to the agent.
    :param clock_ms: Newest clock of the agent that was seen.
    :param revision: Configuration revision in force there.
    :param reserved: What the VM's targets keep for themselves.
    :param statuses: Tasks on the VM by identity.
    :param absent_since_ms: Agent clock at which an assigned task was first
        seen missing, by task and epoch.
    :param shunned_until_s: Time before which nothing is placed there.
    """

    vm: str
    incarnation: str
    zone: str
    rack: str
    capacity: Capacity
    conn: Connection
    clock_ms: int
    revision: int
    reserved: Capacity = dataclasses.field(default_factory=Capacity)
    statuses: dict[str, TaskStatus] = dataclasses.field(default_factory=dict)
    absent_since_ms: dict[tuple[str, int], int] = dataclasses.field(
        default_factory=dict
    )
    shunned_until_s: float = 0.0
