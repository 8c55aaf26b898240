"""The answer to a report of a VM."""

import dataclasses

from radishlanding.message.image_weight import ImageWeight


@dataclasses.dataclass(slots=True, kw_only=True)
class VmReportAck:
    """Extend the lease of a VM.

    :param granted: Whether the lease counts from the report.
    :param weights: Weights of the images that fill the VM.
    """

    granted: bool
    weights: list[ImageWeight] = dataclasses.field(default_factory=list)
