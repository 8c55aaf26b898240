"""Reply to a report of a VM."""

import dataclasses

from radishlanding.message.image_weight import ImageWeight
from radishlanding.message.task_order import TaskOrder
from radishlanding.message.task_precedence import TaskPrecedence


@dataclasses.dataclass(slots=True, kw_only=True)
class VmReportAck:
    """Answer a report of a VM, and extend its lease if it is granted.

    An extended lease begins with the leader's last proof of leadership, so
    that the next leader knows when the leases of all earlier ones end.

    :param granted: Whether the lease is extended.
    :param weights: Weights of the images of the VM's best-effort tasks.
    :param orders: Orders of the attempts that were reported without one; the
        agent must not start them again.
    :param precedence: Ranks of the VM's best-effort tasks; empty from a
        leader that does not rank them.
    :param proof_age_ms: Age of the proof when the answer was made, in
        milliseconds; 0 from a leader of an earlier build.
    """

    granted: bool
    weights: list[ImageWeight] = dataclasses.field(default_factory=list)
    orders: list[TaskOrder] = dataclasses.field(default_factory=list)
    precedence: list[TaskPrecedence] = dataclasses.field(default_factory=list)
    proof_age_ms: int = 0
