"""Group commit of changes to the journal."""

import trio

from radishlanding.journal import Fenced
from radishlanding.journal import JournalRolledBack
from radishlanding.observe import EventLog
from radishlanding.shard.pending_change import PendingChange
from radishlanding.store import StoreUnavailable

MIN_COMMIT_INTERVAL_S = 0.25
MAX_SEGMENT_RECORDS = 2000
SEGMENTS_PER_SNAPSHOT = 64

_log = EventLog("radishlanding.shard")


class GroupCommit:
    """Batch changes into segments, one every MIN_COMMIT_INTERVAL_S at most.

    Only this class modifies the state, and only once the segment with the
    changes is known to be stored.
    """

    __slots__ = (
        "_counters",
        "_needs_rewrite",
        "_journal",
        "_pending",
        "_state",
        "_wake",
    )

    def __init__(self, *, journal, state, counters):
        """Create a group commit; :meth:`run` writes the segments.

        :param journal: An open :class:`radishlanding.journal.Journal`.
        :param state: The :class:`ShardState` read from it.
        :param counters: Counters of the process.
        """
        self._journal = journal
        self._state = state
        self._counters = counters
        self._needs_rewrite = False
        self._pending = []
        self._wake = trio.Event()

    async def submit(self, change):
        """Record a change.

        :param change: A :class:`radishlanding.shard.Change`.
        :returns: Whether it was recorded; false when it does not apply to
            the state.
        :raises Fenced: The shard has another owner; the change may or may
            not be recorded.
        """
        (was_recorded,) = await self.submit_all([change])
        return was_recorded

    async def submit_all(self, changes):
        """Record independent changes in as few segments as possible.

        :param changes: :class:`radishlanding.shard.Change` objects.
        :returns: Whether each was recorded.
        :raises Fenced: The shard has another owner.
        """
        pending = [PendingChange(change) for change in changes]
        self._pending += pending
        self._wake.set()
        return [await item.wait() for item in pending]

    async def confirm(self):
        """Confirm the ownership; see :meth:`Journal.confirm`.

        Where the store was rolled back, :meth:`run` rewrites the journal from
        the state in memory.

        :raises Fenced: Another process owns the shard.
        :raises StoreUnavailable: The store did not answer.
        """
        try:
            await self._journal.confirm()
        except JournalRolledBack as exc:
            _log.error("journal_went_back", reason=exc)
            self._needs_rewrite = True
            self._wake.set()

    async def run(self):
        """Record changes until another process owns the shard.

        :raises Fenced: Another process owns the shard.
        """
        since_snapshot = 0
        try:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                if self._needs_rewrite:
                    await self._rewrite()
                if await self._commit():
                    since_snapshot += 1
                if since_snapshot >= SEGMENTS_PER_SNAPSHOT:
                    since_snapshot = 0
                    await self._snapshot()
                await trio.sleep(MIN_COMMIT_INTERVAL_S)
        finally:
            for pending in self._pending:
                pending.fail(Fenced("not the owner"))

    def _take_batch(self):
        """Return pending changes without conflicts, for one segment.

        Changes that no longer apply are rejected; conflicting ones and those
        beyond MAX_SEGMENT_RECORDS stay pending.
        """
        batch, deferred, conflict_keys, records = [], [], set(), 0
        for pending in self._pending:
            item_keys = pending.change.conflict_keys()
            records += pending.change.record_count()
            if conflict_keys & item_keys or (
                batch and records > MAX_SEGMENT_RECORDS
            ):
                deferred.append(pending)
            elif pending.change.applies_to(self._state):
                batch.append(pending)
            else:
                pending.resolve(False)
            conflict_keys |= item_keys
        self._pending = deferred
        if deferred:
            self._wake.set()
        return batch

    async def _commit(self):
        """Write one segment.

        :returns: Whether there was any change to write.
        """
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
            item.resolve(True)
        return True

    async def _rewrite(self):
        """Rewrite the journal; wake :meth:`run` again if that failed."""
        try:
            await self._journal.rewrite(self._state.dump())
            self._needs_rewrite = False
        except StoreUnavailable as exc:
            _log.warning("rewrite_failed", reason=exc)
            self._wake.set()

    async def _snapshot(self):
        """Replace the journal by a snapshot of the pruned state."""
        self._state.prune()
        try:
            await self._journal.truncate(self._state.dump())
        except StoreUnavailable as exc:
            _log.warning("snapshot_failed", reason=exc)
