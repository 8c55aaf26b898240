"""Finds the owner of the VM's shard and reports to it."""

import random

import trio

from radishlanding import message as messages
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import Connection
from radishlanding.peer import ConnectionLost
from radishlanding.peer import dial
from radishlanding.vm import boot_clock_s
from radishlanding.vm import clock_ms

CALL_TIMEOUT_S = 2.0
HEARTBEAT_PAUSE_S = 1.0
MIN_HEARTBEAT_PAUSE_S = 0.1
SEEK_PAUSE_S = 0.3

_log = EventLog("radishlanding.agent")


class OwnerLink:
    """Keep a connection to the owner with the highest epoch."""

    __slots__ = (
        "_cfg",
        "_conn",
        "_counters",
        "_handler",
        "_hint",
        "_identity",
        "_is_confirmed",
        "_keeper",
        "_lease",
        "_pool",
        "_site",
    )

    def __init__(
        self, *, cfg, identity, handler, keeper, lease, pool, site, counters
    ):
        """Prepare; :meth:`run` works.

        :param cfg: The :class:`radishlanding.settings.AgentSettings`.
        :param identity: Pair of incarnation and VM capacity.
        :param handler: Handler of the owner's messages.
        :param keeper: The :class:`TaskManager`.
        :param lease: The :class:`radishlanding.vm.VmLease`.
        :param pool: The :class:`radishlanding.target.TargetPool`.
        :param site: The :class:`SiteView`.
        :param counters: Counts of the process.
        """
        self._cfg = cfg
        self._identity = identity
        self._handler = handler
        self._keeper = keeper
        self._lease = lease
        self._pool = pool
        self._site = site
        self._counters = counters
        self._conn = None
        self._hint = ""
        self._is_confirmed = False

    async def run(self):
        """Seek an owner whenever there is none that the store confirms."""
        async with trio.open_nursery() as nursery:
            while True:
                if self._conn is None or not self._is_confirmed:
                    for address in self._candidates():
                        await self._try(address, nursery)
                        if self._conn is not None and self._is_confirmed:
                            break
                await trio.sleep(SEEK_PAUSE_S * random.uniform(0.5, 1.5))

    def _candidates(self):
        """Return addresses to try; where the owner is said to be first."""
        others = [
            address
            for address in self._site.schedulers
            if address != self._hint
        ]
        random.shuffle(others)
        return [self._hint, *others] if self._hint else others

    async def _try(self, address, nursery):
        """Connect to a scheduler and keep it if it is a newer owner."""
        if self._conn is not None and self._conn.peer == address:
            return
        try:
            stream = await dial(address=address)
        except ConnectionLost:
            if address == self._hint:
                self._hint = ""
            return
        conn = Connection(
            stream=stream,
            handler=self,
            counters=self._counters,
            peer=address,
        )
        await nursery.start(conn.run)
        try:
            answer = await conn.call(self._hello(), timeout_s=CALL_TIMEOUT_S)
        except (ConnectionLost, CallRefused):
            conn.abort()
            return
        if answer.accepted and answer.owner_epoch >= self._site.owner_epoch:
            self._follow(conn, answer.owner_epoch, nursery)
        else:
            self._hint = answer.address
            conn.abort()

    def _follow(self, conn, owner_epoch, nursery):
        if self._conn is not None:
            self._conn.abort()
        self._conn = conn
        self._is_confirmed = True
        self._hint = conn.peer
        self._site.owner_epoch = owner_epoch
        _log.info("owner_found", address=conn.peer, epoch=owner_epoch)
        nursery.start_soon(self._heartbeats, conn)

    def _hello(self):
        incarnation, capacity = self._identity
        return messages.AgentHello(
            vm=self._cfg.vm,
            incarnation=incarnation,
            zone=self._cfg.zone,
            rack=self._cfg.rack,
            capacity=capacity,
            clock_ms=clock_ms(),
            revision=self._site.revision,
            owner_epoch=self._site.owner_epoch,
        )

    async def _heartbeats(self, conn):
        while conn is self._conn:
            sent_s = boot_clock_s()
            beat = messages.Heartbeat(
                clock_ms=clock_ms(),
                revision=self._site.revision,
                reserved=self._pool.reserved(),
                tasks=self._keeper.statuses(),
            )
            try:
                ack = await conn.call(beat, timeout_s=CALL_TIMEOUT_S)
            except (ConnectionLost, CallRefused) as exc:
                _log.info("owner_lost", address=conn.peer, reason=exc)
                conn.abort()
                return
            if conn is self._conn:
                self._take_in(ack, sent_s)
            await trio.sleep(MIN_HEARTBEAT_PAUSE_S)
            with trio.move_on_after(HEARTBEAT_PAUSE_S - MIN_HEARTBEAT_PAUSE_S):
                await self._keeper.wait_changed()

    def _take_in(self, ack, sent_s):
        if ack.granted:
            self._lease.extend(sent_s=sent_s)
        self._is_confirmed = ack.confirmed
        self._keeper.settle([(key.task_id, key.epoch) for key in ack.settled])
        for key in ack.unwanted:
            self._keeper.stop((key.task_id, key.epoch), reason="unwanted")

    async def handle(self, message, conn):
        """Handle a message of a scheduler."""
        return await self._handler.handle(message, conn)

    def lost(self, conn):
        """Note that a connection is gone."""
        if conn is self._conn:
            self._conn = None
            self._is_confirmed = False
