"""Records changes in batches."""

import trio

from radishlanding.journal import Fenced
from radishlanding.journal import JournalWentBack
from radishlanding.observe import EventLog
from radishlanding.shard.pending_change import PendingChange
from radishlanding.store import StoreUnavailable

MIN_COMMIT_PAUSE_S = 0.25
MAX_RECORDS = 2000
SNAPSHOT_SEGMENTS = 64

_log = EventLog("radishlanding.shard")


class GroupCommit:
    """Record changes, at most four times a second.

    Only this class changes the state, and only after the segment that says
    so is known to be in the store.
    """

    __slots__ = (
        "_counters",
        "_has_gone_back",
        "_journal",
        "_pending",
        "_state",
        "_wake",
    )

    def __init__(self, *, journal, state, counters):
        """Prepare; :meth:`run` records.

        :param journal: An open :class:`radishlanding.journal.Journal`.
        :param state: The :class:`ShardState` that it was read into.
        :param counters: Counts of the process.
        """
        self._journal = journal
        self._state = state
        self._counters = counters
        self._has_gone_back = False
        self._pending = []
        self._wake = trio.Event()

    async def submit(self, change):
        """Record a change.

        :param change: A :class:`radishlanding.shard.Change`.
        :returns: Whether it was recorded; false when the state does not
            allow it.
        :raises Fenced: The shard has another owner; the change is not
            known to be recorded.
        """
        (was_recorded,) = await self.submit_all([change])
        return was_recorded

    async def submit_all(self, changes):
        """Record changes, each by itself, in as few segments as possible.

        :param changes: :class:`radishlanding.shard.Change` objects.
        :returns: Whether each was recorded.
        :raises Fenced: The shard has another owner.
        """
        pending = [PendingChange(change) for change in changes]
        self._pending += pending
        self._wake.set()
        return [await item.wait() for item in pending]

    async def confirm(self):
        """Prove the ownership; see :meth:`Journal.confirm`.

        A store that has gone back gets the whole state again.

        :raises Fenced: Another process owns the shard.
        :raises StoreUnavailable: The store gave no answer.
        """
        try:
            await self._journal.confirm()
        except JournalWentBack as exc:
            _log.error("journal_went_back", reason=exc)
            self._has_gone_back = True
            self._wake.set()

    async def run(self):
        """Record changes until another process owns the shard.

        :raises Fenced: It does.
        """
        since_snapshot = 0
        try:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                if self._has_gone_back:
                    await self._rewrite()
                if await self._commit():
                    since_snapshot += 1
                if since_snapshot >= SNAPSHOT_SEGMENTS:
                    since_snapshot = 0
                    await self._snapshot()
                await trio.sleep(MIN_COMMIT_PAUSE_S)
        finally:
            for pending in self._pending:
                pending.fail(Fenced("not the owner"))

    def _take_batch(self):
        """Return pending changes that touch different things."""
        batch, later, names, records = [], [], set(), 0
        for pending in self._pending:
            touched = pending.change.names()
            records += pending.change.size()
            if names & touched or (batch and records > MAX_RECORDS):
                later.append(pending)
            elif pending.change.fits(self._state):
                batch.append(pending)
            else:
                pending.finish(False)
            names |= touched
        self._pending = later
        if later:
            self._wake.set()
        return batch

    async def _commit(self):
        """Record one batch; return whether there was any."""
        batch = self._take_batch()
        if not batch:
            return False
        segment = self._journal.make_segment(
            jobs=[job for item in batch for job in item.change.jobs],
            transitions=[
                transition
                for item in batch
                for transition in item.change.transitions
            ],
            claims=[claim for item in batch for claim in item.change.claims],
        )
        try:
            await self._journal.append(segment)
        except BaseException:
            self._pending += batch
            raise
        self._counters.add("commits")
        self._counters.add("committed_records", len(segment.transitions))
        self._state.apply(segment)
        for item in batch:
            item.finish(True)
        return True

    async def _rewrite(self):
        try:
            await self._journal.rewrite(self._state.dump())
            self._has_gone_back = False
        except StoreUnavailable as exc:
            _log.warning("rewrite_failed", reason=exc)
            self._wake.set()

    async def _snapshot(self):
        self._state.prune()
        try:
            await self._journal.truncate(self._state.dump())
        except StoreUnavailable as exc:
            _log.warning("snapshot_failed", reason=exc)
