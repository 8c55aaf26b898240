"""Cuts a snapshot into values of the store."""

from radishlanding.store import pack

# A value holds at most 1 MB in the store, and grows by a third in base64.
CHUNK_BYTES = 400_000


def make_chunks(records):
    """Return the records as JSON lists of a bounded size."""
    chunks, parts, size = [], [], 0
    for record in records:
        part = pack(record)
        if parts and size + len(part) > CHUNK_BYTES:
            chunks.append(b"[" + b",".join(parts) + b"]")
            parts, size = [], 0
        parts.append(part)
        size += len(part)
    if parts:
        chunks.append(b"[" + b",".join(parts) + b"]")
    return chunks
