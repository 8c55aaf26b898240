"""Encodes records of the store as JSON."""

import msgspec

from radishlanding.store.corrupt_record import CorruptRecord


def pack(record):
    """Return a dataclass object encoded as JSON bytes."""
    return msgspec.json.encode(record)


def unpack(cls, data):
    """Return the record decoded from JSON bytes.

    :param cls: Dataclass of the record.
    :param data: Bytes from :func:`pack`.
    :raises CorruptRecord: The bytes are not a record of this type, or are
        nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=cls)
    except RecursionError as exc:
        raise CorruptRecord(f"{cls.__name__}: nested too deeply") from exc
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise CorruptRecord(f"{cls.__name__}: {exc}") from exc
