"""Recovers the state of workflows from the log."""

import functools

from radishlanding.dispatch import keys
from radishlanding.dispatch.log_contents import LogContents
from radishlanding.dispatch.parallel import MAX_PARALLEL
from radishlanding.dispatch.parallel import run_parallel
from radishlanding.journal import Fenced
from radishlanding.observe import EventLog
from radishlanding.workflow import LogEntry
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry

# Longest time without a byte of the log.
LOG_SILENCE_S = 3.0

_log = EventLog("radishlanding.dispatch")


async def read_log(store, head, *, max_parallel=MAX_PARALLEL):
    """Return the recorded state.

    :param store: A :class:`radishlanding.store.TransactionalStore`.
    :param head: The :class:`Head` that this process has written, so that
        no other process can append.
    :param max_parallel: How many chunks are read at the same time.
    :returns: A :class:`LogContents`.
    :raises Fenced: Keys are missing, as another process replaced them.
    :raises StoreUnavailable: The store did not answer.
    :raises CorruptRecord: A chunk or an entry is malformed.
    """
    contents = LogContents(
        registry=WorkflowRegistry(), last_number=head.number
    )
    await _read_snapshot(store, head, contents, max_parallel)
    after = ""
    if head.first_number:
        after = keys.entry(head.number)
        contents.obsolete = keys.entries(head.first_number, head.number)
    await _read_entries(store, contents, after)
    for record in contents.registry.workflows.values():
        record.shown = record.phase
    return contents


async def _read_snapshot(store, head, contents, max_parallel):
    async def read(index):
        key = keys.chunk(head.number, head.snapshot_epoch, index)
        return await store.get(key)

    for kv in await run_parallel(
        [functools.partial(read, index) for index in range(head.chunks)],
        limit=max_parallel,
    ):
        if kv is None:
            raise Fenced("the snapshot was replaced while it was read")
        contents.registry.load(contents.unpack(list[WorkflowRecord], kv.value))
        contents.snapshot_bytes += len(kv.value)


async def _read_entries(store, contents, after):
    listing = await store.list(keys.LOG, after=after, silence_s=LOG_SILENCE_S)
    for item in listing.items:
        if not keys.is_entry(item.key):
            _log.error("log_key_foreign", key=item.key, version=item.version)
            continue
        if item.key <= keys.entry(contents.last_number):
            contents.obsolete.append(item.key)
            continue
        next_number = contents.last_number + 1
        if item.key != keys.entry(next_number):
            raise Fenced(f"entry {next_number} is missing")
        contents.registry.apply(contents.unpack(LogEntry, item.value))
        contents.entry_bytes += len(item.value)
        contents.last_number = next_number
