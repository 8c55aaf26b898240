"""The log of workflow changes in the store."""

import dataclasses
import functools
import random

import trio

from radishlanding.dispatch import keys
from radishlanding.dispatch.chunks import CHUNK_BYTES
from radishlanding.dispatch.chunks import make_chunks
from radishlanding.dispatch.head import Head
from radishlanding.dispatch.log_fence import LogFence
from radishlanding.dispatch.log_reader import read_log
from radishlanding.dispatch.log_size import LogSize
from radishlanding.dispatch.parallel import MAX_PARALLEL
from radishlanding.dispatch.parallel import run_parallel
from radishlanding.dispatch.snapshot import Snapshot
from radishlanding.journal import Fenced
from radishlanding.observe import EventLog
from radishlanding.policy import DEFAULT_LINK_MBPS
from radishlanding.policy import SendWindow
from radishlanding.store import compress
from radishlanding.store import Conflict
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack_compressed
from radishlanding.store import Write
from radishlanding.store import WriteRefused
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import LogEntry

MIN_RETRY_DELAY_S = 0.03
MAX_RETRY_DELAY_S = 0.5
# The store accepts 32 operations in a transaction, and an append has three.
MAX_REMOVES_PER_APPEND = 28
# Leaders in a row whose chunks are removed if they died during a snapshot.
MAX_DEAD_LEADERS = 3
# Ended workflows have to stay known for 120 s; doubled as a margin.
ENDED_RETENTION_MS = 240_000

_log = EventLog("radishlanding.dispatch")


class EntryLog:
    """Claim the log, read it and append to it.

    Each append is a transaction on condition that the head is the one this
    process wrote and that the entry's number is free. It thus commits the
    entry and fences replaced leaders in one step.

    ``failures`` counts the latest calls in a row that got no answer, and
    ``failing_since_s`` is the time of the first of them, 0 for none.
    ``claimed_s`` is when the claim began, in seconds on the boot clock.
    ``predecessors`` are the identities of the last leader and the one before
    it, empty if unknown. ``inherited_leases_s`` holds the remaining leases by
    VM that the last leader handed over, in seconds, None if it did not resign.
    ``earlier_leases_start_s`` is the latest time at which a lease that an
    earlier leader has granted begins, in seconds on the boot clock.
    """

    __slots__ = (
        "_abandoned",
        "_compresses",
        "_fence",
        "_grace_s",
        "_last_number",
        "_obsolete",
        "_max_parallel",
        "_size",
        "_store",
        "_unfinished",
        "claimed_s",
        "earlier_leases_start_s",
        "failing_since_s",
        "failures",
        "inherited_leases_s",
        "is_stuck",
        "predecessors",
    )

    def __init__(
        self,
        *,
        store,
        link_mbps=DEFAULT_LINK_MBPS,
        compresses=True,
        grace_s=0.0,
    ):
        """Initialise an unclaimed log; :meth:`claim` takes it over.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        :param link_mbps: Bandwidth of this process's link, in megabits per
            second.
        :param compresses: Whether to compress what is written, and to keep
            done tasks as ranges; otherwise builds from before can read it.
        :param grace_s: How long leaders extend leases after their last proof
            of leadership, in seconds.
        """
        # Keys of snapshots that failed; later writes to them may be executed
        # until the next snapshot is complete.
        self._abandoned = []
        self._compresses = compresses
        self._fence = LogFence(store=store)
        self._grace_s = grace_s
        self._last_number = 0
        # Keys that the snapshot replaces; appends remove them.
        self._obsolete = []
        self._max_parallel = min(
            MAX_PARALLEL,
            SendWindow(link_mbps=link_mbps).max_parallel(CHUNK_BYTES),
        )
        self._size = LogSize()
        self._store = store
        # The Snapshot that was begun last, None once its head is written.
        self._unfinished = None
        self.claimed_s = 0.0
        self.earlier_leases_start_s = 0.0
        self.failures = 0
        self.inherited_leases_s = None
        self.failing_since_s = 0.0
        self.is_stuck = False
        self.predecessors = ("", "")

    @property
    def epoch(self):
        """Return the epoch of this leadership, 0 before a claim."""
        return self._fence.head.epoch

    @property
    def confirmed_s(self):
        """Return the time of the last proof of leadership.

        In seconds on the boot clock.
        """
        return self._fence.confirmed_s

    @property
    def size_bytes(self):
        """Return the size of the snapshot and the entries after it."""
        return self._size.snapshot_bytes + self._size.entry_bytes

    async def claim(self, *, process_id, leader_write, leader_version):
        """Become the leader and read the log.

        :param process_id: Identity of this process.
        :param leader_write: Write that announces the leader.
        :param leader_version: Version of the leader's key that was judged
            vacant, 0 for an absent key.
        :returns: The recovered
            :class:`radishlanding.workflow.WorkflowRegistry`.
        :raises Fenced: Another process claimed the log at the same time.
        :raises StoreUnavailable: The store did not answer.
        :raises CorruptRecord: The head, a chunk or an entry is malformed.
        """
        self.claimed_s = boot_clock_s()
        old = await self._fence.claim(
            process_id=process_id,
            leader_write=leader_write,
            leader_version=leader_version,
        )
        head = self._fence.head
        self.predecessors = (old.process_id, old.predecessor)
        self.inherited_leases_s = old.leases_s if old.has_resigned else None
        self.earlier_leases_start_s = self._fence.led_since_s
        if not head.leases_start_at_proof:
            self.earlier_leases_start_s += self._grace_s
        contents = await read_log(
            self._store, head, max_parallel=self._max_parallel
        )
        self._last_number = contents.last_number
        self._size = LogSize(
            snapshot_bytes=contents.snapshot_bytes,
            entries=contents.last_number - head.number,
            entry_bytes=contents.entry_bytes,
            is_foreign=contents.has_compressed and not self._compresses,
        )
        self._obsolete = contents.obsolete + keys.chunks(
            head.replaced_number, head.replaced_epoch, head.replaced_chunks
        )
        if self._last_number > head.number and self._size.needs_snapshot():
            self._obsolete += self._unfinished_keys(contents.registry, old)
        _log.info(
            "log_read",
            epoch=head.epoch,
            entries=self._size.entries,
            entry_bytes=self._size.entry_bytes,
            chunks=head.chunks,
            snapshot_bytes=self._size.snapshot_bytes,
        )
        return contents.registry

    def _unfinished_keys(self, registry, old):
        """Return keys that a leader wrote if it died during a snapshot.

        Nothing is appended during a snapshot, so it was of the state that
        was recovered.

        :param registry: That state.
        :param old: The :class:`Head` before the claim.
        """
        count = len(make_chunks(registry.snapshot_records(), encode=bytes))
        first = max(old.snapshot_epoch, old.epoch - MAX_DEAD_LEADERS + 1)
        return [
            key
            for epoch in range(first, old.epoch + 1)
            for key in keys.chunks(self._last_number, epoch, count)
        ]

    async def append(self, entry):
        """Write an entry and return once it is known to be committed.

        Retries the same entry for as long as the store does not answer.

        :param entry: A :class:`radishlanding.workflow.LogEntry`.
        :raises Fenced: Another process leads now.
        :raises WriteRefused: The store does not accept the entry.
        """
        delay_s = MIN_RETRY_DELAY_S
        number = self._last_number + 1
        write = Write(key=keys.entry(number), value=self._encode(pack(entry)))
        while True:
            try:
                if await self._write(write, entry):
                    break
            except WriteRefused as exc:
                _log.error(
                    "entry_refused",
                    number=number,
                    bytes=len(write.value),
                    changes=entry.size(),
                    reason=exc,
                )
                raise
            except StoreUnavailable as exc:
                self.is_stuck = True
                self._record_failure()
                _log.warning("append_unanswered", number=number, reason=exc)
            await trio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
        self.is_stuck = False
        self._record_answer()
        self._last_number = number
        self._size.add_entry(len(write.value))

    def _encode(self, data):
        return compress(data) if self._compresses else data

    def stored_size(self, record):
        """Return the size of a record as the log holds it, in bytes."""
        return len(self._encode(pack(record)))

    async def _write(self, write, entry):
        """Try to write an entry; return whether it is committed.

        After a conflict the entry is read back, as an earlier attempt may
        have been committed without its answer.
        """
        removes = self._obsolete[:MAX_REMOVES_PER_APPEND]
        try:
            await self._fence.create(write, removes=removes)
            del self._obsolete[: len(removes)]
            return True
        except Conflict:
            kv = await self._store.get(write.key)
        if kv is not None:
            found = unpack_compressed(LogEntry, kv.value)
            if found.commit_id == entry.commit_id:
                await self.confirm()
                return True
            raise Fenced(f"entry {write.key} was written by another process")
        await self.confirm()
        return False

    async def confirm(self):
        """Verify with the store that this process still leads.

        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        try:
            await self._fence.check()
        except StoreUnavailable:
            self._record_failure()
            raise
        self._record_answer()

    def _record_failure(self):
        self.failures += 1
        if not self.failing_since_s:
            self.failing_since_s = boot_clock_s()

    def _record_answer(self):
        self.failures = 0
        self.failing_since_s = 0.0

    async def put(self, write):
        """Write a key that only the leader may write.

        :param write: A :class:`radishlanding.store.Write`.
        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        await self._fence.transact(writes=[write])

    async def resign(self, leases_s):
        """Remove the leader's key, so that another process can claim the log.

        :param leases_s: Remaining time of each VM's lease, in seconds; this
            process must not extend any of them afterwards.
        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        head = dataclasses.replace(
            self._fence.head, has_resigned=True, leases_s=leases_s
        )
        await self._fence.transact(
            writes=[Write(key=keys.HEAD, value=pack(head))],
            removes=[keys.LEADER],
        )

    async def withdraw(self):
        """Remove the leader's key without handing over leases.

        For a process that has claimed the log but cannot read it.

        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        await self._fence.transact(removes=[keys.LEADER])

    def needs_snapshot(self):
        """Return whether a new leader would read too much, or could not."""
        return self._size.needs_snapshot()

    async def snapshot(self, registry, *, now_ms):
        """Replace the entries so far by a snapshot.

        Must not run concurrently with :meth:`append`.

        :param registry: State after the last entry; it is pruned.
        :param now_ms: Unix time, in milliseconds.
        :raises Fenced: Another process leads now.
        :raises StoreUnavailable: The store did not answer.
        """
        registry.prune(
            before_ms=now_ms - ENDED_RETENTION_MS,
            keeps_ranges=self._compresses,
        )
        old, head = self._fence.head, self._next_head()
        snapshot = self._begin_snapshot(registry)
        await run_parallel(
            [
                functools.partial(self._fence.transact, writes=[write])
                for write in snapshot.writes()
            ],
            limit=self._max_parallel,
        )
        head.chunks = len(snapshot.chunks)
        await self._fence.replace_head(head)
        self._unfinished = None
        self._size = LogSize(snapshot_bytes=snapshot.size_bytes)
        self._obsolete += _replaced_keys(old, head) + self._abandoned
        self._abandoned = []
        _log.info(
            "snapshot_made",
            number=head.number,
            chunks=head.chunks,
            bytes=self._size.snapshot_bytes,
        )

    def _begin_snapshot(self, registry):
        """Return the snapshot to write.

        After a failure a write of a chunk may still be executed, so the same
        key gets the same value again.
        """
        if self._unfinished is None or (
            self._unfinished.number != self._last_number
        ):
            if self._unfinished is not None:
                self._abandoned += self._unfinished.keys()
            self._unfinished = Snapshot(
                number=self._last_number,
                epoch=self._fence.head.epoch,
                chunks=make_chunks(
                    registry.snapshot_records(), encode=self._encode
                ),
            )
        return self._unfinished

    def _next_head(self):
        """Return the head of a snapshot that covers the last entry."""
        remaining = next(filter(keys.is_entry, self._obsolete), None)
        head = self._fence.head
        return Head(
            epoch=head.epoch,
            claim_id=head.claim_id,
            process_id=head.process_id,
            predecessor=head.predecessor,
            number=self._last_number,
            first_number=(
                keys.entry_number(remaining) if remaining else head.number + 1
            ),
            snapshot_epoch=head.epoch,
            leases_start_at_proof=(
                boot_clock_s() > self.earlier_leases_start_s
            ),
            replaced_number=head.number,
            replaced_epoch=head.snapshot_epoch,
            replaced_chunks=head.chunks,
        )


def _replaced_keys(old, head):
    """Return the keys that a snapshot replaces.

    :param old: The :class:`Head` before it.
    :param head: Its :class:`Head`.
    """
    return keys.entries(old.number + 1, head.number) + keys.chunks(
        old.number, old.snapshot_epoch, old.chunks
    )
