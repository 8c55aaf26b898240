"""Encodes the records kept in the store as JSON."""

import msgspec

from radishlanding.store.corrupt_record import CorruptRecord


def pack(record):
    """Return a dataclass as JSON bytes."""
    return msgspec.json.encode(record)


def unpack(cls, data):
    """Return the record that JSON bytes hold.

    :param cls: Its dataclass.
    :param data: Bytes that :func:`pack` made.
    :raises CorruptRecord: The bytes hold no such record.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise CorruptRecord(f"{cls.__name__}: {exc}") from exc
