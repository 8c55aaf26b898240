"""Periodic report of an agent."""

import dataclasses

from radishlanding.message.task_status import TaskStatus
from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Heartbeat:
    """Report the state of an agent, and request a longer VM lease.

    An agent sends it to the owner of its shard. The reply is a
    :class:`HeartbeatAck`.

    :param clock_ms: Time since boot on the agent's clock at sending, in
        milliseconds.
    :param revision: Revision of the configuration that the agent has in force.
    :param reserved: Capacity that the VM's targets reserve.
    :param tasks: Tasks on the VM.
    :param directory: Digest of the newest :class:`Directory` that the agent
        follows, 0 without one.
    """

    clock_ms: int
    revision: int
    reserved: Capacity
    tasks: list[TaskStatus]
    directory: int = 0
