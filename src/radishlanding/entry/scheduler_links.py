"""The links of an entry to the schedulers."""

import random

import trio

from radishlanding.message import Accepted
from radishlanding.message import EntryHello
from radishlanding.message import OwnerReport
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.peer import Link
from radishlanding.shard import shard_of

HELLO_INTERVAL_S = 1.0
HELLO_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1

_log = EventLog("radishlanding.entry")


class SchedulerLinks:
    """Keep a link to each scheduler and track which shards it owns."""

    __slots__ = (
        "_cfg_watch",
        "_counters",
        "_identity",
        "_links",
        "_member_watch",
        "_owned_shards",
    )

    def __init__(self, *, identity, cfg_watch, member_watch, counters):
        """Prepare; :meth:`run` keeps the links.

        :param identity: Pair of process identity and availability zone.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param member_watch: A :class:`radishlanding.membership.MemberWatch`.
        :param counters: Counters of the process.
        """
        self._identity = identity
        self._cfg_watch = cfg_watch
        self._member_watch = member_watch
        self._counters = counters
        self._links = {}
        self._owned_shards = {}

    async def run(self):
        """Open and close links as schedulers join and leave the site."""
        async with trio.open_nursery() as nursery:
            while True:
                addresses = self._member_watch.addresses("scheduler")
                for address in list(self._links):
                    if address not in addresses:
                        self._links.pop(address).close()
                for address in addresses:
                    if address not in self._links:
                        link = Link(
                            address=address,
                            handler=self,
                            counters=self._counters,
                        )
                        self._links[address] = link
                        nursery.start_soon(link.run)
                await self._member_watch.wait_changed()

    async def connected(self, conn):
        """Send a hello with the configuration revision every second."""
        entry_id, zone = self._identity
        while True:
            hello = EntryHello(
                entry_id=entry_id,
                zone=zone,
                revision=self._cfg_watch.document.revision,
            )
            try:
                report = await conn.call(hello, timeout_s=HELLO_TIMEOUT_S)
            except (ConnectionLost, CallRefused) as exc:
                _log.info("scheduler_lost", address=conn.peer, reason=exc)
                conn.abort()
                return
            self._owned_shards[conn] = report.owners
            await trio.sleep(HELLO_INTERVAL_S)

    async def handle(self, message, conn):
        """Store which shards a scheduler owns.

        :raises radishlanding.peer.CallRefused: It is another message.
        """
        if not isinstance(message, OwnerReport):
            raise CallRefused(f"unexpected {type(message).__name__}")
        self._owned_shards[conn] = message.owners
        return Accepted()

    def disconnected(self, conn):
        """Forget the shards owned over a lost connection."""
        self._owned_shards.pop(conn, None)

    def _owner_conn(self, name):
        """Return the connection to the owner with the highest epoch."""
        shard = shard_of(name, shards=self._cfg_watch.document.shards)
        found = [
            (owned_shard.owner_epoch, conn)
            for conn, owners in self._owned_shards.items()
            for owned_shard in owners
            if owned_shard.shard == shard
        ]
        return max(found, key=lambda pair: pair[0])[1] if found else None

    async def call_owner(self, name, message, *, timeout_s):
        """Call the owner of a shard; wait for one if there is none.

        The message must be safe to repeat: a call without an answer is sent
        again, possibly to another owner.

        :param name: VM, job or request key that selects the shard.
        :param message: The message.
        :param timeout_s: Timeout for all attempts, in seconds.
        :raises radishlanding.peer.ConnectionLost: No owner answered in time.
        """
        reason = "no scheduler owns the shard"
        with trio.move_on_after(timeout_s):
            while True:
                conn = self._owner_conn(name)
                if conn is not None:
                    try:
                        return await conn.call(message, timeout_s=timeout_s)
                    except (ConnectionLost, CallRefused) as exc:
                        reason = str(exc)
                await trio.sleep(RETRY_DELAY_S * random.uniform(0.5, 1.5))
        raise ConnectionLost(reason)

    async def call_all(self, message, *, timeout_s):
        """Call every scheduler and return the answers that arrive.

        :param message: The message.
        :param timeout_s: Timeout for each call, in seconds.
        """
        answers = []

        async def call(link):
            try:
                answers.append(await link.call(message, timeout_s=timeout_s))
            except (ConnectionLost, CallRefused) as exc:
                _log.info("scheduler_silent", address=link.address, reason=exc)

        async with trio.open_nursery() as nursery:
            for link in self._links.values():
                nursery.start_soon(call, link)
        return answers
