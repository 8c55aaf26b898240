"""Supervision of one shard: acquisition and loss of its ownership."""

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

POLL_INTERVAL_S = 0.3
# Wait for each scheduler that the shard prefers to this one.
RANK_DELAY_S = 0.3

_log = EventLog("radishlanding.scheduler")


class ShardSupervisor:
    """Acquire a shard whenever it has no owner, and run its owner."""

    __slots__ = ("_ctx", "_min_epoch", "_shard", "owner")

    def __init__(self, *, shard, ctx):
        """Create a supervisor; :meth:`run` acquires the shard.

        :param shard: Number of the shard.
        :param ctx: The :class:`ProcessContext`.
        """
        self._shard = shard
        self._min_epoch = 0
        self._ctx = ctx
        self.owner = None

    async def run(self):
        """Acquire the shard and run its owner, until cancelled."""
        while True:
            await trio.sleep(POLL_INTERVAL_S * random.uniform(0.7, 1.0))
            if self._shard in self._ctx.member_watch.owners:
                continue
            await trio.sleep(RANK_DELAY_S * self._rank())
            try:
                if await self._ctx.registration.acquire_shard(self._shard):
                    await self._run_owner()
            except (StoreUnavailable, Fenced) as exc:
                _log.debug("shard_not_acquired", shard=self._shard, reason=exc)
            except (CorruptRecord, JournalGap) as exc:
                _log.error("journal_bad", shard=self._shard, reason=exc)

    def reopen_above(self, epoch):
        """Resign, and reopen the journal above an epoch.

        An agent ignores owners with a lower epoch than the highest it has
        followed. Where that is higher than the owner's, either the store has
        lost segments or another process owns the shard by now.

        :param epoch: Highest epoch that an agent has followed.
        """
        _log.warning("epoch_exceeded", shard=self._shard, epoch=epoch)
        self._min_epoch = max(self._min_epoch, epoch + 1)
        self.owner.resign()

    def _rank(self):
        """Return this scheduler's place in the shard's order of preference.

        The others wait longer, so that the preferred one acquires the shard.
        """
        ids = [
            member.process_id
            for member in self._ctx.member_watch.members
            if member.kind == "scheduler"
        ]
        order = rendezvous(str(self._shard), ids)
        process_id = self._ctx.process_id
        return order.index(process_id) if process_id in order else len(order)

    async def _run_owner(self):
        try:
            journal = Journal(
                store=self._ctx.store,
                shard=self._shard,
                writer=self._ctx.process_id,
            )
            state = ShardState()
            await journal.open(state, min_epoch=self._min_epoch)
            self.owner = ShardOwner(
                shard=self._shard,
                journal=journal,
                state=state,
                cfg_watch=self._ctx.cfg_watch,
                timing=self._ctx.timing,
                counters=self._ctx.counters,
            )
            _log.info(
                "shard_owned", shard=self._shard, epoch=journal.owner_epoch
            )
            await self._ctx.push_owners()
            await self.owner.run()
        finally:
            self.owner = None
            with trio.move_on_after(1.0, shield=True):
                await self._ctx.registration.release_shard(self._shard)
                await self._ctx.push_owners()
