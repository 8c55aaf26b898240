"""Reads fields of the platform's JSON objects.

The functions raise ``ValueError`` with the field's name. The message never
quotes the value, which may be long or deeply nested.
"""

import math

# Numbers up to this are exact in JSON, and fit into the 64 bits that messages
# between processes have for them even when many are added up.
MAX_NUMBER = 2**53 - 1
# Limit of amounts of resources, counts and durations in milliseconds.
MAX_AMOUNT = 2**31 - 1
MAX_TEXT_BYTES = 4096
MAX_NAME_BYTES = 200
MAX_ROWS = 100_000


def read_object(raw, name):
    """Return a value that has to be a JSON object.

    :param raw: The value.
    :param name: Name of the field, for the error.
    """
    if not isinstance(raw, dict):
        raise ValueError(f"{name} is not an object")
    return raw


def read_list(raw, name, *, max_rows=MAX_ROWS):
    """Return the list in a field, an empty list if it is absent.

    :param raw: The object.
    :param name: Name of the field.
    :param max_rows: Longest list to accept.
    """
    rows = raw.get(name)
    if rows is None:
        return []
    if not isinstance(rows, list) or len(rows) > max_rows:
        raise ValueError(f"{name} is not a list of up to {max_rows}")
    return rows


def check_number(value, name):
    """Return a value that has to be a finite number of at least 0."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is not a number")
    if not (0 <= value <= MAX_NUMBER and math.isfinite(value)):
        raise ValueError(f"{name} is not from 0 to {MAX_NUMBER}")
    return float(value)


def check_int(value, name, *, maximum=MAX_AMOUNT):
    """Return a value that has to be a number from 0 to a maximum.

    :returns: The number without its fraction.
    """
    number = check_number(value, name)
    if number > maximum:
        raise ValueError(f"{name} is not from 0 to {maximum}")
    return int(value)


def read_int(raw, name, *, default=None, maximum=MAX_AMOUNT):
    """Return the number in a field, without its fraction.

    :param raw: The object.
    :param name: Name of the field.
    :param default: Value of an absent field; None if it is required.
    :param maximum: Largest value to accept; the smallest is 0.
    """
    value = raw.get(name)
    if value is None and default is not None:
        return default
    return check_int(value, name, maximum=maximum)


def check_text(value, name, *, max_bytes=MAX_TEXT_BYTES):
    """Return a value that has to be a string.

    :param max_bytes: Longest string to accept, in bytes of UTF-8.
    """
    if not isinstance(value, str):
        raise ValueError(f"{name} is not a string")
    if len(value.encode(errors="surrogatepass")) > max_bytes:
        raise ValueError(f"{name} is longer than {max_bytes} bytes")
    # Raises UnicodeEncodeError, a ValueError, for unpaired surrogates.
    value.encode()
    return value


def read_text(raw, name, *, default=None, max_bytes=MAX_TEXT_BYTES):
    """Return the string in a field.

    :param raw: The object.
    :param name: Name of the field.
    :param default: Value of an absent or null field; None if it is required.
    :param max_bytes: Longest string to accept, in bytes of UTF-8.
    """
    value = raw.get(name)
    if value is None and default is not None:
        return default
    return check_text(value, name, max_bytes=max_bytes)
