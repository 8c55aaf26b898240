"""The answer to a report of a VM."""

import dataclasses

from radishlanding.message.image_weight import ImageWeight
from radishlanding.message.task_order import TaskOrder


@dataclasses.dataclass(slots=True, kw_only=True)
class VmReportAck:
    """Extend the lease of a VM.

    :param granted: Whether the lease counts from the report.
    :param weights: Weights of the images that fill the VM.
    :param orders: What was ordered of the attempts that were reported
        without an order; they are not to be started again.
    """

    granted: bool
    weights: list[ImageWeight] = dataclasses.field(default_factory=list)
    orders: list[TaskOrder] = dataclasses.field(default_factory=list)
