"""Encodes records of the store as compressed JSON."""

import zlib

from radishlanding.store.corrupt_record import CorruptRecord
from radishlanding.store.record import unpack

# The fastest level, as the leader compresses on the way to each commit.
LEVEL = 1
# The first byte of a zlib stream; JSON of a record starts with { or [.
ZLIB_MARK = b"x"
# Bounds the memory that a damaged value can claim.
MAX_RECORD_BYTES = 16 * 1024 * 1024


def is_compressed(data):
    """Return whether a value of the store was compressed."""
    return data.startswith(ZLIB_MARK)


def compress(data):
    """Return JSON bytes compressed, or unchanged if that is not smaller.

    Data over ``MAX_RECORD_BYTES`` is unchanged too.

    :param data: Bytes from :func:`radishlanding.store.pack`.
    """
    if len(data) > MAX_RECORD_BYTES:
        return data
    compressed = zlib.compress(data, LEVEL)
    return compressed if len(compressed) < len(data) else data


def _decompress(data):
    """Return the JSON bytes of a value, which may not be compressed.

    :param data: Bytes from :func:`compress` or
        :func:`radishlanding.store.pack`.
    :raises CorruptRecord: The compressed bytes are damaged, or hold more than
        ``MAX_RECORD_BYTES``.
    """
    if not is_compressed(data):
        return data
    decoder = zlib.decompressobj()
    try:
        plain = decoder.decompress(data, MAX_RECORD_BYTES + 1)
    except zlib.error as exc:
        raise CorruptRecord(f"compressed record: {exc}") from exc
    if len(plain) > MAX_RECORD_BYTES:
        raise CorruptRecord(
            f"compressed record: over {MAX_RECORD_BYTES} bytes"
        )
    if not decoder.eof:
        raise CorruptRecord("compressed record: truncated")
    if decoder.unused_data:
        raise CorruptRecord("compressed record: followed by other bytes")
    return plain


def unpack_compressed(cls, data):
    """Return the record decoded from JSON bytes, compressed or not.

    :param cls: Dataclass of the record.
    :param data: Bytes from :func:`compress` or
        :func:`radishlanding.store.pack`.
    :raises CorruptRecord: The bytes are damaged, too large, or not a record
        of this type.
    """
    return unpack(cls, _decompress(data))
