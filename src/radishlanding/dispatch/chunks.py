"""Splits a snapshot into values that the store can take."""

from radishlanding.store import compress
from radishlanding.store import pack

# Size before compression. A third more in base64, a 2 Mbit/s link still
# transfers it within the store's call timeout of 0.8 s.
CHUNK_BYTES = 100_000


def make_chunks(records, *, encode=compress):
    """Encode records as JSON lists of at most about ``CHUNK_BYTES`` each.

    :param records: Records to encode; one larger than a chunk gets its own.
    :param encode: Callable that takes JSON bytes and returns those to store.
    :returns: Encoded lists, in order.
    """
    chunks, parts, size = [], [], 0
    for record in records:
        part = pack(record)
        if parts and size + len(part) > CHUNK_BYTES:
            chunks.append(encode(_join(parts)))
            parts, size = [], 0
        parts.append(part)
        size += len(part)
    if parts:
        chunks.append(encode(_join(parts)))
    return chunks


def _join(parts):
    return b"[" + b",".join(parts) + b"]"
