"""What the project asks of the platform's key-value service."""

from radishlanding.store.corrupt_record import CorruptRecord
from radishlanding.store.key_value import KeyValue
from radishlanding.store.record import pack
from radishlanding.store.record import unpack
from radishlanding.store.store import Store
from radishlanding.store.unavailable import StoreUnavailable

__all__ = [
    "CorruptRecord",
    "KeyValue",
    "Store",
    "StoreUnavailable",
    "pack",
    "unpack",
]
