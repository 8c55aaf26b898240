"""Interfaces of the platform's key-value service."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "CallBudget",
    "ChangeSet",
    "Conflict",
    "CorruptRecord",
    "HistoryCompacted",
    "KeyValue",
    "LeaseExpired",
    "Listing",
    "PrefixWatch",
    "RecordReader",
    "Store",
    "StoreUnavailable",
    "TransactionalStore",
    "Write",
    "WriteRefused",
    "compress",
    "is_compressed",
    "pack",
    "unpack",
    "unpack_compressed",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "CallBudget": "budget",
        "ChangeSet": "change_set",
        "Conflict": "conflict",
        "CorruptRecord": "corrupt_record",
        "HistoryCompacted": "history_compacted",
        "KeyValue": "key_value",
        "LeaseExpired": "lease_expired",
        "Listing": "listing",
        "PrefixWatch": "prefix_watch",
        "RecordReader": "record_reader",
        "Store": "store",
        "StoreUnavailable": "unavailable",
        "TransactionalStore": "transactional_store",
        "Write": "write",
        "WriteRefused": "write_refused",
        "compress": "compressed_record",
        "is_compressed": "compressed_record",
        "pack": "record",
        "unpack": "record",
        "unpack_compressed": "compressed_record",
    },
)
