"""Process-wide objects that the shard supervisors share."""

import collections.abc
import dataclasses

from radishlanding.config import ConfigWatch
from radishlanding.membership import MemberWatch
from radishlanding.membership import Registration
from radishlanding.observe import Counters
from radishlanding.store import Store
from radishlanding.vm import LeaseTiming


@dataclasses.dataclass(slots=True, kw_only=True)
class ProcessContext:
    """The dependencies of every :class:`ShardSupervisor`.

    :param process_id: Unique identity of the process.
    :param store: The store.
    :param cfg_watch: Watch of the configuration.
    :param member_watch: Watch of the members of the site.
    :param registration: Registration of this process.
    :param timing: Lease timing.
    :param counters: Counters of the process.
    :param push_owners: Coroutine function that sends the shards that this
        process owns to every connected entry.
    """

    process_id: str
    store: Store
    cfg_watch: ConfigWatch
    member_watch: MemberWatch
    registration: Registration
    timing: LeaseTiming
    counters: Counters
    push_owners: collections.abc.Callable
