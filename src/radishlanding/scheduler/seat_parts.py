"""What every seat of a scheduler shares."""

import collections.abc
import dataclasses

from radishlanding.config import ConfigWatch
from radishlanding.membership import MemberWatch
from radishlanding.membership import Registration
from radishlanding.observe import Counters
from radishlanding.store import Store
from radishlanding.vm import LeaseTiming


@dataclasses.dataclass(slots=True, kw_only=True)
class SeatParts:
    """Parts of the process that its seats use.

    :param process_id: Unique identity of the process.
    :param store: The store.
    :param cfg_watch: The configuration in force.
    :param members: Members of the site.
    :param registration: Registration of this process.
    :param timing: Bounds of leases.
    :param counters: Counts of the process.
    :param announce_owners: Coroutine that tells peers which shards this
        process owns.
    """

    process_id: str
    store: Store
    cfg_watch: ConfigWatch
    members: MemberWatch
    registration: Registration
    timing: LeaseTiming
    counters: Counters
    announce_owners: collections.abc.Callable
