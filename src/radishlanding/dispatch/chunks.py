"""Cuts a snapshot into values of the store."""

from radishlanding.store import pack

# Grows by a third in base64; a link of 2 Mbit/s takes it within the store's
# call timeout of 0.8 s.
CHUNK_BYTES = 100_000


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
