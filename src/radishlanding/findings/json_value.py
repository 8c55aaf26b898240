"""Decodes JSON from other programs."""

import msgspec


def decode_json(data):
    """Return the value of a JSON text.

    :param data: JSON as bytes; NaN, infinite numbers and unpaired surrogates
        are malformed.
    :raises ValueError: The bytes are not JSON, or are nested too deeply.
    """
    try:
        return msgspec.json.decode(data)
    except RecursionError as exc:
        raise ValueError("JSON is nested too deeply") from exc
