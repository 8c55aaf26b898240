"""A worker's report of itself."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class WorkerReport:
    """The state that a worker registers with its agent.

    :param worker_id: Identity of the worker.
    :param born_ms: Unix time of its start, in milliseconds; 0 if it is
        unknown.
    :param number: Sequence number of the report in one boot.
    :param pool: Pool of VMs that it belongs to.
    :param address: ``ip:port`` on which it accepts calls.
    :param zone: Availability zone.
    :param labels: Kind and rack of its VM.
    :param capacity: Resources that tasks may use in total.
    :param is_draining: Whether it is about to shut down.
    :param remaining_ms: Minimum time until it shuts down while draining, in
        milliseconds.
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
        """Return the identity of this boot of the worker."""
        return f"{self.worker_id}/{self.born_ms}"
