"""The answer to a report of a VM."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class VmReportAck:
    """Extend the lease of a VM.

    :param granted: Whether the lease counts from the report.
    """

    granted: bool
