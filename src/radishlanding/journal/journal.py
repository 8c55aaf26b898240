"""The journal of one shard in the store."""

import random
import time
import uuid

import trio

from radishlanding.journal.fenced import Fenced
from radishlanding.journal.gap import JournalGap
from radishlanding.journal.head import Head
from radishlanding.journal.keys import JournalKeys
from radishlanding.journal.rolled_back import JournalRolledBack
from radishlanding.journal.segment import Segment
from radishlanding.observe import EventLog
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack
from radishlanding.vm import boot_clock_s

MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
MAX_SCAN_SEGMENTS = 32

_log = EventLog("radishlanding.journal")


class Journal:
    """Append segments and detect the loss of the ownership.

    Creating a segment both commits it and checks the ownership: if another
    process has written the next number, :class:`Fenced` is raised. A newer
    owner may have truncated that number, which lets the creation succeed, so
    a segment counts as committed only once the head has been read and covers
    a lower number.

    Methods that read the store also raise
    :class:`radishlanding.store.CorruptRecord`.
    """

    __slots__ = (
        "_confirmed_number",
        "_head_number",
        "_keys",
        "_last_segment",
        "_store",
        "_writer",
        "confirmed_s",
        "owner_epoch",
    )

    def __init__(self, *, store, shard, writer):
        """Create a journal without reading it; see :meth:`open`.

        :param store: A :class:`radishlanding.store.Store`.
        :param shard: Number of the shard.
        :param writer: Unique identity of this process.
        """
        self._keys = JournalKeys(shard=shard)
        self._store = store
        self._writer = writer
        self._head_number = 0
        self._last_segment = None
        self._confirmed_number = 0
        self.confirmed_s = 0.0
        self.owner_epoch = 0

    @property
    def last_number(self):
        """Return the number of the newest known segment, 0 for none."""
        return self._last_segment.number if self._last_segment else 0

    async def open(self, state, *, min_epoch=0):
        """Read the journal into a state and become its writer.

        An empty segment fences the previous writer; its number is the new
        epoch, unless ``min_epoch`` is higher.

        :param state: An empty :class:`radishlanding.shard.ShardState`.
        :param min_epoch: Lowest epoch to use. Agents may have followed a
            higher epoch than the journal shows if the store lost segments.
        :raises Fenced: Another process took it over at the same time.
        :raises JournalGap: Segments are missing.
        :raises StoreUnavailable: The store did not answer.
        """
        head = await self._read_head()
        chunks = await self._read_snapshot(head)
        state.load(chunks)
        number = head.number
        while True:
            segments = await self._read_segments(number + 1)
            for segment in segments:
                if segment.number != number + 1:
                    await self._raise_gap(head, number + 1)
                state.apply(segment)
                number = segment.number
                self._last_segment = segment
            if len(segments) < MAX_SCAN_SEGMENTS:
                break
        self._head_number = head.number
        self._confirmed_number = number + 1
        self.owner_epoch = max(number + 1, min_epoch)
        await self._append(self.make_segment(number=number + 1))

    async def _read_head(self):
        kv = await self._store.get(self._keys.head)
        return unpack(Head, kv.value) if kv else Head()

    async def _read_snapshot(self, head):
        chunks = []
        for index in range(head.chunks):
            kv = await self._store.get(f"{head.snapshot}{index:04d}")
            if kv is None:
                await self._raise_gap(head, head.number)
            chunks.append(kv.value)
        return chunks

    async def _read_segments(self, number):
        kvs = await self._store.scan(
            self._keys.log,
            start=self._keys.segment(number),
            limit=MAX_SCAN_SEGMENTS,
        )
        return [unpack(Segment, kv.value) for kv in kvs]

    async def _raise_gap(self, head, number):
        """Raise the error for a missing segment or chunk.

        :raises Fenced: Another process has replaced the head meanwhile.
        :raises JournalGap: The head is the same.
        """
        if (await self._read_head()).number != head.number:
            raise Fenced("the journal was truncated while it was read")
        raise JournalGap(f"segment {number} is missing")

    def make_segment(self, *, number=None, **changes):
        """Return the next segment, without writing it.

        :param number: Number of the segment, None for the next.
        :param changes: Jobs, transitions and claims of the segment.
        """
        return Segment(
            number=number or self.last_number + 1,
            writer=self._writer,
            commit_id=uuid.uuid4().hex,
            owner_epoch=self.owner_epoch,
            made_s=time.time(),
            **changes,
        )

    async def append(self, segment):
        """Write a segment and return once it is known to be stored.

        The same segment is retried with backoff for as long as the store
        does not answer.

        :param segment: A :class:`Segment` of :meth:`make_segment`.
        :raises Fenced: Another process owns the shard.
        """
        delay_s = MIN_RETRY_DELAY_S
        while True:
            try:
                await self._append(segment)
                return
            except StoreUnavailable as exc:
                _log.warning(
                    "append_unanswered", number=segment.number, reason=exc
                )
            await trio.sleep(delay_s * random.uniform(0.5, 1.0))
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def _append(self, segment):
        sent_s = boot_clock_s()
        key = self._keys.segment(segment.number)
        if not await self._store.create(key, pack(segment)):
            # An earlier try may have created it without an answer.
            kv = await self._store.get(key)
            commit_id = unpack(Segment, kv.value).commit_id if kv else None
            if commit_id != segment.commit_id:
                raise Fenced(
                    f"segment {segment.number} was written by another process"
                )
        if (await self._read_head()).number >= segment.number:
            raise Fenced(f"segment {segment.number} was truncated")
        self._last_segment = segment
        self.confirmed_s = sent_s

    async def confirm(self):
        """Verify that the journal holds exactly what this writer wrote.

        :raises Fenced: Another process has written to it.
        :raises JournalRolledBack: The store has lost segments.
        :raises StoreUnavailable: The store did not answer.
        """
        sent_s = boot_clock_s()
        first, last = self._confirmed_number, self.last_number
        segments = await self._read_segments(first)
        if any(map(self._is_foreign, segments)):
            raise Fenced(f"a segment from {first} on has another writer")
        present = {segment.number for segment in segments}
        missing = set(range(first, last + 1)) - present
        if self._confirmed_number != first:
            # The journal was truncated while its segments were read.
            return
        if missing:
            head = await self._read_head()
            if head.number > self._head_number:
                raise Fenced(f"segment {min(missing)} was truncated")
            raise JournalRolledBack(f"segment {min(missing)} is missing")
        self._confirmed_number = last
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def _is_foreign(self, segment):
        return (
            segment.writer != self._writer
            or segment.owner_epoch != self.owner_epoch
        )

    async def rewrite(self, chunks):
        """Restore the journal in a store that was rolled back.

        The newest segment is written again as well, as :meth:`confirm`
        expects to find it.

        :param chunks: Encoded chunks of the state after that segment.
        :raises Fenced: Another process owns the shard.
        :raises StoreUnavailable: The store did not answer.
        """
        await self.truncate(chunks)
        key = self._keys.segment(self.last_number)
        await self._store.create(key, pack(self._last_segment))
        _log.error("journal_rewritten", number=self.last_number)

    async def truncate(self, chunks):
        """Replace the journal up to the newest segment by a snapshot.

        The segments before the newest one and the older snapshots are
        deleted.

        :param chunks: Encoded chunks of the state after that segment.
        :raises Fenced: Another process owns the shard.
        :raises StoreUnavailable: The store did not answer.
        """
        number = self.last_number
        prefix = self._keys.snapshot(number, self._writer)
        for index, chunk in enumerate(chunks):
            await self._store.create(f"{prefix}{index:04d}", chunk)
        kv = await self._store.get(self._keys.head)
        old = unpack(Head, kv.value) if kv else Head()
        if old.number > number:
            raise Fenced(f"head {old.number} is newer than {number}")
        head = Head(number=number, snapshot=prefix, chunks=len(chunks))
        if not await self._store.swap(
            self._keys.head, pack(head), version=kv.version if kv else 0
        ):
            raise Fenced(f"head {old.number} was replaced")
        self._head_number = number
        self._confirmed_number = number
        await self._store.delete(self._keys.log, self._keys.segment(number))
        await self._store.delete(self._keys.snapshots, prefix)
        _log.info("journal_truncated", number=number, chunks=len(chunks))
