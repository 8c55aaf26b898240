"""Recovers the state of workflows from the log."""

from radishlanding.dispatch import keys
from radishlanding.journal import Fenced
from radishlanding.observe import EventLog
from radishlanding.store import unpack
from radishlanding.workflow import LogEntry
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry

# A page of up to one megabyte takes 1.7 s on a 5 Mbit/s link.
LOG_TIMEOUT_S = 3.0

_log = EventLog("radishlanding.dispatch")


async def read_registry(store, head):
    """Return the recorded state and the number of the last entry.

    :param store: A :class:`radishlanding.store.TransactionalStore`.
    :param head: The :class:`Head` that this process has written, so that
        no other process can append.
    :returns: A :class:`radishlanding.workflow.WorkflowRegistry` and a number.
    :raises Fenced: Keys are missing, as another process replaced them.
    :raises StoreUnavailable: The store did not answer.
    :raises CorruptRecord: A chunk or an entry is malformed.
    """
    registry = WorkflowRegistry()
    for index in range(head.chunks):
        key = keys.chunk(head.number, head.snapshot_epoch, index)
        kv = await store.get(key)
        if kv is None:
            raise Fenced("the snapshot was replaced while it was read")
        registry.load(unpack(list[WorkflowRecord], kv.value))
    last = head.number
    listing = await store.list(keys.LOG, timeout_s=LOG_TIMEOUT_S)
    for item in listing.items:
        if not keys.is_entry(item.key):
            _log.error("log_key_foreign", key=item.key, version=item.version)
            continue
        if item.key <= keys.entry(last):
            # In the snapshot, but not removed yet.
            continue
        if item.key != keys.entry(last + 1):
            raise Fenced(f"entry {last + 1} is missing")
        registry.apply(unpack(LogEntry, item.value))
        last += 1
    for record in registry.workflows.values():
        record.shown = record.phase
    return registry, last
