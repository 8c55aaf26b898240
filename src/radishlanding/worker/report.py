"""What a worker says of itself."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class WorkerReport:
    """A worker's word about itself.

    :param worker_id: Identity of the worker.
    :param born_ms: Unix time of its start, in milliseconds, 0 if it does
        not say.
    :param number: Rises with each report of one boot.
    :param pool: Pool of VMs that it belongs to.
    :param address: ``ip:port`` that takes its calls.
    :param zone: Availability zone.
    :param labels: Kind and rack of its VM.
    :param capacity: What tasks may use in all.
    :param is_draining: Whether it is about to leave.
    :param remaining_ms: Time that is left at least when it is draining.
    """

    worker_id: str
    born_ms: int
    number: int
    pool: str
    address: str
    zone: str
    labels: list[str]
    capacity: Capacity
    is_draining: bool
    remaining_ms: int

    @property
    def boot(self):
        """Return what tells this boot of the worker from others."""
        return f"{self.worker_id}/{self.born_ms}"
