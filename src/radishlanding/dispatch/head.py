"""Who writes the log of workflows, and where it begins."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Head:
    """The newest leadership and snapshot.

    Every entry is written on condition that the head has not changed, so
    that a leader that was replaced can record nothing more.

    :param epoch: Number of the leadership, rising.
    :param claim_id: Unique identity of the write that began it.
    :param process_id: Process that leads.
    :param number: Last entry that the snapshot covers.
    :param snapshot_epoch: Epoch in which the snapshot was made.
    :param chunks: Number of the snapshot's keys.
    :param has_resigned: Whether that leader has stopped in order.
    :param leases_s: Where it has, the seconds that were left then of the
        leases of VMs on which something may run.
    """

    epoch: int = 0
    claim_id: str = ""
    process_id: str = ""
    number: int = 0
    snapshot_epoch: int = 0
    chunks: int = 0
    has_resigned: bool = False
    leases_s: dict[str, float] = dataclasses.field(default_factory=dict)
