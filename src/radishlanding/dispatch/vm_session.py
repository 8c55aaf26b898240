"""The state of one VM at the leader."""

import dataclasses

from radishlanding.dispatch.orders_in_flight import OrdersInFlight
from radishlanding.dispatch.work_anchor import WorkAnchor
from radishlanding.message import RunningTask
from radishlanding.message import VmState
from radishlanding.peer import Connection


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class VmSession:
    """A VM whose agent follows this leader on one connection.

    It lasts until the connection ends, the VM is lost, or its agent
    introduces it on another connection.

    :param vm: Identity of the VM.
    :param conn: Connection to the agent.
    :param state: State of the worker and its VM.
    :param clock_ms: Newest known clock of the agent, in milliseconds.
    :param fence: Fencing token of the agent.
    :param reads_specs: Whether the agent reads the specifications of
        :class:`radishlanding.message.StartOrders`.
    :param reads_proof_age: Whether the agent's leases begin with the proof of
        leadership, and not with the report that is answered.
    :param has_full_report: Whether a full report has arrived.
    :param running: Running attempts by task.
    :param orders_in_flight: Start orders that reports may not show yet.
    :param backoff_until_s: Time on the boot clock, in seconds, until which
        the VM gets no new tasks, as it has refused some.
    :param stuck_until_s: The same, as its tasks make no progress.
    :param work_anchors: Earlier reports of running attempts by task id, from
        which :class:`RunTimeMonitor` measures their run times.
    """

    vm: str
    conn: Connection
    state: VmState
    clock_ms: int
    fence: int = 0
    reads_specs: bool = False
    reads_proof_age: bool = False
    has_full_report: bool = False
    running: dict[str, RunningTask] = dataclasses.field(default_factory=dict)
    orders_in_flight: OrdersInFlight = dataclasses.field(
        default_factory=OrdersInFlight
    )
    backoff_until_s: float = 0.0
    stuck_until_s: float = 0.0
    work_anchors: dict[str, WorkAnchor] = dataclasses.field(
        default_factory=dict
    )

    def advance_clock(self, clock_ms):
        """Record a newer clock of the agent.

        :param clock_ms: The clock, in milliseconds.
        """
        self.clock_ms = max(self.clock_ms, clock_ms)
