"""Competes for the ownership of one shard."""

import random

import trio

from radishlanding.journal import Fenced
from radishlanding.journal import Journal
from radishlanding.journal import JournalGap
from radishlanding.observe import EventLog
from radishlanding.scheduler.shard_owner import ShardOwner
from radishlanding.shard import rendezvous
from radishlanding.shard import ShardState
from radishlanding.store import CorruptRecord
from radishlanding.store import StoreUnavailable

POLL_PAUSE_S = 0.3
RANK_PAUSE_S = 0.3

_log = EventLog("radishlanding.scheduler")


class ShardSeat:
    """Own a shard whenever no other process does."""

    __slots__ = ("_min_epoch", "_parts", "_shard", "owner")

    def __init__(self, *, shard, parts):
        """Prepare; :meth:`run` competes.

        :param shard: Number of the shard.
        :param parts: A :class:`SeatParts`.
        """
        self._shard = shard
        self._min_epoch = 0
        self._parts = parts
        self.owner = None

    async def run(self):
        """Compete for the shard and own it, again and again."""
        while True:
            await trio.sleep(POLL_PAUSE_S * random.uniform(0.7, 1.0))
            if self._shard in self._parts.members.owners:
                continue
            await trio.sleep(RANK_PAUSE_S * self._rank())
            try:
                if await self._parts.registration.acquire_shard(self._shard):
                    await self._own()
            except (StoreUnavailable, Fenced) as exc:
                _log.debug("seat_not_taken", shard=self._shard, reason=exc)
            except (CorruptRecord, JournalGap) as exc:
                _log.error("journal_bad", shard=self._shard, reason=exc)

    def exceed(self, epoch):
        """Own the shard anew with a higher epoch.

        Agents that have followed a higher epoch follow no lower one. It is
        higher than that of the journal only where the store has lost
        segments, or where this process is not the owner any more.

        :param epoch: The highest epoch that an agent has followed.
        """
        _log.warning("epoch_exceeded", shard=self._shard, epoch=epoch)
        self._min_epoch = max(self._min_epoch, epoch + 1)
        self.owner.leave()

    def _rank(self):
        ids = [
            member.process_id
            for member in self._parts.members.members
            if member.kind == "scheduler"
        ]
        order = rendezvous(str(self._shard), ids)
        process_id = self._parts.process_id
        return order.index(process_id) if process_id in order else len(order)

    async def _own(self):
        try:
            journal = Journal(
                store=self._parts.store,
                shard=self._shard,
                writer=self._parts.process_id,
            )
            state = ShardState()
            await journal.open(state, min_epoch=self._min_epoch)
            self.owner = ShardOwner(
                shard=self._shard,
                journal=journal,
                state=state,
                cfg_watch=self._parts.cfg_watch,
                timing=self._parts.timing,
                counters=self._parts.counters,
            )
            _log.info(
                "shard_owned", shard=self._shard, epoch=journal.owner_epoch
            )
            await self._parts.announce_owners()
            await self.owner.run()
        finally:
            self.owner = None
            with trio.move_on_after(1.0, shield=True):
                await self._parts.registration.release_shard(self._shard)
                await self._parts.announce_owners()
