"""The journal of one shard in the store."""

import random
import time
import uuid

import trio

from radishlanding.journal.fenced import Fenced
from radishlanding.journal.gap import JournalGap
from radishlanding.journal.head import Head
from radishlanding.journal.keys import Keys
from radishlanding.journal.segment import Segment
from radishlanding.journal.went_back import JournalWentBack
from radishlanding.observe import EventLog
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack
from radishlanding.vm import boot_clock_s

MIN_RETRY_S = 0.1
MAX_RETRY_S = 2.0
SCAN_SEGMENTS = 32

_log = EventLog("radishlanding.journal")


class Journal:
    """Append segments and prove that this process still owns the shard.

    Creating a segment is commit and fence in one: where another process
    has written the next number, this one raises :class:`Fenced`. Because
    a newer owner's snapshot may have deleted that number, a segment counts
    only after the head was read and found older.
    """

    __slots__ = (
        "_head_number",
        "_keys",
        "_last",
        "_store",
        "_verified",
        "_writer",
        "confirmed_s",
        "owner_epoch",
    )

    def __init__(self, *, store, shard, writer):
        """Prepare a journal; :meth:`open` takes it over.

        :param store: A :class:`radishlanding.store.Store`.
        :param shard: Number of the shard.
        :param writer: Unique identity of this process.
        """
        self._keys = Keys(shard=shard)
        self._store = store
        self._writer = writer
        self._head_number = 0
        self._last = None
        self._verified = 0
        self.confirmed_s = 0.0
        self.owner_epoch = 0

    @property
    def last_number(self):
        """Return the number of the newest segment known."""
        return self._last.number if self._last else 0

    async def open(self, state, *, min_epoch=0):
        """Read the journal into a state and become its writer.

        :param state: An empty :class:`radishlanding.shard.ShardState`.
        :param min_epoch: Lowest epoch to own it with; above what agents
            have followed, where the store has lost segments.
        :raises Fenced: Another process took it over at the same time.
        :raises JournalGap: Segments are missing.
        :raises StoreUnavailable: The store gave no answer.
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
                self._last = segment
            if len(segments) < SCAN_SEGMENTS:
                break
        self._head_number = head.number
        self._verified = number + 1
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
            limit=SCAN_SEGMENTS,
        )
        return [unpack(Segment, kv.value) for kv in kvs]

    async def _raise_gap(self, head, number):
        if (await self._read_head()).number != head.number:
            raise Fenced("the journal was truncated while it was read")
        raise JournalGap(f"segment {number} is missing")

    def make_segment(self, *, number=None, **changes):
        """Return the next segment, not yet written."""
        return Segment(
            number=number or self.last_number + 1,
            writer=self._writer,
            commit_id=uuid.uuid4().hex,
            owner_epoch=self.owner_epoch,
            made_s=time.time(),
            **changes,
        )

    async def append(self, segment):
        """Write a segment; return only when it is known to be recorded.

        A store that gives no answer is asked again without end, always
        with the same segment.

        :raises Fenced: Another process owns the shard now.
        """
        pause_s = MIN_RETRY_S
        while True:
            try:
                await self._append(segment)
                return
            except StoreUnavailable as exc:
                _log.warning(
                    "append_unanswered", number=segment.number, reason=exc
                )
            await trio.sleep(pause_s * random.uniform(0.5, 1.0))
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _append(self, segment):
        sent_s = boot_clock_s()
        key = self._keys.segment(segment.number)
        if not await self._store.create(key, pack(segment)):
            kv = await self._store.get(key)
            commit_id = unpack(Segment, kv.value).commit_id if kv else None
            if commit_id != segment.commit_id:
                raise Fenced(f"segment {segment.number} is taken")
        if (await self._read_head()).number >= segment.number:
            raise Fenced(f"segment {segment.number} was truncated")
        self._last = segment
        self.confirmed_s = sent_s

    async def confirm(self):
        """Prove that the journal holds just what was written here.

        :raises Fenced: Another process has written to it.
        :raises JournalWentBack: The store has lost segments.
        :raises StoreUnavailable: The store gave no answer.
        """
        sent_s = boot_clock_s()
        first, last = self._verified, self.last_number
        segments = await self._read_segments(first)
        if any(map(self._is_foreign, segments)):
            raise Fenced(f"a segment after {first} is another's")
        held = {segment.number for segment in segments}
        missing = set(range(first, last + 1)) - held
        if self._verified != first:
            return
        if missing:
            head = await self._read_head()
            if head.number > self._head_number:
                raise Fenced(f"segment {min(missing)} was truncated")
            raise JournalWentBack(f"segment {min(missing)} is missing")
        self._verified = last
        self.confirmed_s = max(self.confirmed_s, sent_s)

    def _is_foreign(self, segment):
        return (
            segment.writer != self._writer
            or segment.owner_epoch != self.owner_epoch
        )

    async def rewrite(self, chunks):
        """Record the state again in a store that has gone back.

        :param chunks: The state after the newest segment, as bytes.
        :raises Fenced: Another process owns the shard now.
        :raises StoreUnavailable: The store gave no answer.
        """
        await self.truncate(chunks)
        key = self._keys.segment(self.last_number)
        await self._store.create(key, pack(self._last))
        _log.error("journal_rewritten", number=self.last_number)

    async def truncate(self, chunks):
        """Replace the journal so far by a snapshot.

        :param chunks: The state after the newest segment, as bytes.
        :raises Fenced: Another process owns the shard now.
        :raises StoreUnavailable: The store gave no answer.
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
        self._verified = number
        await self._store.delete(self._keys.log, self._keys.segment(number))
        await self._store.delete(self._keys.snapshots, prefix)
        _log.info("journal_truncated", number=number, chunks=len(chunks))
