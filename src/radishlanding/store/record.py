"""Encodes the records kept in the store as JSON."""

import json

import cattrs

from radishlanding.store.corrupt_record import CorruptRecord

_converter = cattrs.Converter(omit_if_default=True)


def pack(record):
    """Return a dataclass as JSON bytes; defaults are left out."""
    return json.dumps(
        _converter.unstructure(record), separators=(",", ":")
    ).encode()


def unpack(cls, data):
    """Return the record that JSON bytes hold.

    :param cls: Its dataclass.
    :param data: Bytes that :func:`pack` made.
    :raises CorruptRecord: The bytes hold no such record.
    """
    try:
        return _converter.structure(json.loads(data), cls)
    except (ValueError, cattrs.BaseValidationError) as exc:
        raise CorruptRecord(f"{cls.__name__}: {exc}") from exc
