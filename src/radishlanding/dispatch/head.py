"""The head of the log: who may append, and where the log starts."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Head:
    """The current leadership and snapshot.

    Entries are written on condition that the head has not changed, which
    fences replaced leaders.

    :param epoch: Epoch of the leadership; increases with each claim.
    :param claim_id: Unique identity of the claim.
    :param process_id: Identity of the leader.
    :param predecessor: Identity of the leader before, empty if unknown.
    :param number: Number of the last entry that the snapshot covers.
    :param first_number: Number of the first entry that the snapshot covers
        and that may not be removed yet, 0 if unknown.
    :param snapshot_epoch: Epoch in which the snapshot was made.
    :param chunks: Number of the snapshot's keys.
    :param replaced_number: ``number`` of the snapshot before, whose keys may
        not be removed yet.
    :param replaced_epoch: Its ``snapshot_epoch``.
    :param replaced_chunks: Number of its keys.
    :param has_resigned: Whether the leader has resigned.
    :param leases_start_at_proof: Whether every lease that an earlier leader
        has granted begins with a proof of its leadership. Otherwise one of an
        earlier build may have extended leases for a grace period after it.
    :param leases_s: Remaining lease of each busy VM when the leader
        resigned, in seconds.
    """

    epoch: int = 0
    claim_id: str = ""
    process_id: str = ""
    predecessor: str = ""
    number: int = 0
    first_number: int = 0
    snapshot_epoch: int = 0
    chunks: int = 0
    replaced_number: int = 0
    replaced_epoch: int = 0
    replaced_chunks: int = 0
    has_resigned: bool = False
    leases_start_at_proof: bool = False
    leases_s: dict[str, float] = dataclasses.field(default_factory=dict)
