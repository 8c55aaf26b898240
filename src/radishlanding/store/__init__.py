"""Interfaces of the platform's key-value service."""

from radishlanding.store.budget import CallBudget
from radishlanding.store.change_set import ChangeSet
from radishlanding.store.conflict import Conflict
from radishlanding.store.corrupt_record import CorruptRecord
from radishlanding.store.history_compacted import HistoryCompacted
from radishlanding.store.key_value import KeyValue
from radishlanding.store.lease_expired import LeaseExpired
from radishlanding.store.listing import Listing
from radishlanding.store.prefix_watch import PrefixWatch
from radishlanding.store.record import pack
from radishlanding.store.record import unpack
from radishlanding.store.record_reader import RecordReader
from radishlanding.store.store import Store
from radishlanding.store.transactional_store import TransactionalStore
from radishlanding.store.unavailable import StoreUnavailable
from radishlanding.store.write import Write

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
    "pack",
    "unpack",
]
