"""Finds the owner of the VM's shard, and reports to it."""

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
HEARTBEAT_INTERVAL_S = 1.0
MIN_HEARTBEAT_INTERVAL_S = 0.1
OWNER_SEARCH_INTERVAL_S = 0.3

_log = EventLog("radishlanding.agent")


class OwnerLink:
    """Maintain a connection to the scheduler that owns the VM's shard.

    The scheduler with the highest owner epoch is followed. The others are
    tried as well while its answers to heartbeats say that the store has not
    confirmed its ownership lately.
    """

    __slots__ = (
        "_cfg",
        "_conn",
        "_counters",
        "_handler",
        "_identity",
        "_is_confirmed",
        "_lease",
        "_owner_hint",
        "_pool",
        "_site",
        "_task_manager",
    )

    def __init__(
        self,
        *,
        cfg,
        identity,
        handler,
        task_manager,
        lease,
        pool,
        site,
        counters,
    ):
        """Create the object without a connection; :meth:`run` connects.

        :param cfg: The :class:`radishlanding.settings.AgentSettings`.
        :param identity: Pair of incarnation and VM capacity.
        :param handler: The :class:`AgentHandler` for the owner's messages.
        :param task_manager: The :class:`TaskManager`.
        :param lease: The :class:`radishlanding.vm.VmLease`.
        :param pool: The :class:`radishlanding.target.TargetPool`.
        :param site: The :class:`SiteView`.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._cfg = cfg
        self._identity = identity
        self._handler = handler
        self._task_manager = task_manager
        self._lease = lease
        self._pool = pool
        self._site = site
        self._counters = counters
        self._conn = None
        self._owner_hint = ""
        self._is_confirmed = False

    async def run(self):
        """Search for an owner whenever none is confirmed, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                if self._conn is None or not self._is_confirmed:
                    for address in self._candidates():
                        await self._try_owner(address, nursery)
                        if self._conn is not None and self._is_confirmed:
                            break
                await trio.sleep(
                    OWNER_SEARCH_INTERVAL_S * random.uniform(0.5, 1.5)
                )

    def _candidates(self):
        """Return the addresses to try, without duplicates.

        They are the last hint, the schedulers of the directory, and those of
        the settings, as a directory may leave out one that starts again.
        """
        known = random.sample(
            self._site.schedulers, len(self._site.schedulers)
        )
        seeds = random.sample(self._cfg.schedulers, len(self._cfg.schedulers))
        hints = [self._owner_hint] if self._owner_hint else []
        return list(dict.fromkeys([*hints, *known, *seeds]))

    async def _try_owner(self, address, nursery):
        """Connect to a scheduler, and follow it if it is the newest owner."""
        if self._conn is not None and self._conn.peer == address:
            return
        try:
            stream = await dial(address=address)
        except ConnectionLost:
            if address == self._owner_hint:
                self._owner_hint = ""
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
            self._follow_owner(conn, answer.owner_epoch, nursery)
        else:
            self._owner_hint = answer.address
            conn.abort()

    def _follow_owner(self, conn, owner_epoch, nursery):
        if self._conn is not None:
            self._conn.abort()
        self._conn = conn
        self._is_confirmed = True
        self._owner_hint = conn.peer
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
            heartbeat = messages.Heartbeat(
                clock_ms=clock_ms(),
                revision=self._site.revision,
                reserved=self._pool.reserved(),
                tasks=self._task_manager.statuses(),
                directory=self._site.directory_digest,
            )
            try:
                ack = await conn.call(heartbeat, timeout_s=CALL_TIMEOUT_S)
            except (ConnectionLost, CallRefused) as exc:
                _log.info("owner_lost", address=conn.peer, reason=exc)
                conn.abort()
                return
            if conn is self._conn:
                self._apply_ack(ack, sent_s)
            await trio.sleep(MIN_HEARTBEAT_INTERVAL_S)
            with trio.move_on_after(
                HEARTBEAT_INTERVAL_S - MIN_HEARTBEAT_INTERVAL_S
            ):
                await self._task_manager.wait_changed()

    def _apply_ack(self, ack, sent_s):
        if ack.granted:
            self._lease.extend(sent_s=sent_s)
        self._is_confirmed = ack.confirmed
        self._task_manager.settle(
            [(key.task_id, key.epoch) for key in ack.settled]
        )
        for key in ack.unwanted:
            self._task_manager.stop(
                (key.task_id, key.epoch), reason="unwanted"
            )

    async def handle(self, message, conn):
        """Handle a message of a scheduler.

        :raises CallRefused: As :meth:`AgentHandler.handle` does.
        """
        return await self._handler.handle(message, conn)

    def disconnected(self, conn):
        """Stop following the owner if this was its connection."""
        if conn is self._conn:
            self._conn = None
            self._is_confirmed = False
