"""A shard owner's view of one connected agent."""

import dataclasses

from radishlanding.message import TaskStatus
from radishlanding.peer import Connection
from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class AgentSession:
    """The state of one accepted agent, updated by its heartbeats.

    :param vm: Identity of its VM.
    :param incarnation: Unique identity of the agent process.
    :param zone: Availability zone of the VM.
    :param rack: Rack of the VM.
    :param capacity: Total capacity of the VM.
    :param conn: Connection to the agent.
    :param clock_ms: Newest agent clock received, in milliseconds.
    :param revision: Configuration revision in force at the agent.
    :param reserved: Capacity reserved by the VM's targets.
    :param statuses: Newest status of each task on the VM, by task.
    :param absent_since_ms: Agent clock, in milliseconds, of the first
        heartbeat without an assigned task, by task and epoch.
    :param backoff_until_s: Boot clock, in seconds, before which no task is
        placed on the VM.
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
    backoff_until_s: float = 0.0
