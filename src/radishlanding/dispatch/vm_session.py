"""What the leader knows of one VM."""

import dataclasses

from radishlanding.message import RunningTask
from radishlanding.message import VmState
from radishlanding.peer import Connection


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class VmSession:
    """A VM whose agent follows this leader.

    :param vm: Identity of the VM.
    :param conn: Connection to the agent.
    :param state: What the VM is.
    :param clock_ms: Newest clock of the agent that was seen.
    :param has_full_report: Whether its first full report has come.
    :param running: Attempts that run there by task.
    :param pending_orders: Attempts by task whose order is on its way.
    :param accepted_clock_ms: Agent's clock after it took an order, by task.
    :param backoff_until_s: Time before which nothing is placed there.
    """

    vm: str
    conn: Connection
    state: VmState
    clock_ms: int
    has_full_report: bool = False
    running: dict[str, RunningTask] = dataclasses.field(default_factory=dict)
    pending_orders: dict[str, int] = dataclasses.field(default_factory=dict)
    accepted_clock_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    backoff_until_s: float = 0.0

    def may_be_missing(self, task_id):
        """Return whether a report that lacks a task says that it is gone."""
        return (
            task_id not in self.pending_orders
            and self.accepted_clock_ms.get(task_id, 0) < self.clock_ms
        )
