"""Compares two configuration documents."""

import dataclasses


def _flatten(value, prefix, flat):
    if dataclasses.is_dataclass(value):
        for field in dataclasses.fields(value):
            _flatten(
                getattr(value, field.name), f"{prefix}.{field.name}", flat
            )
    elif isinstance(value, dict):
        for name, item in value.items():
            _flatten(item, f"{prefix}.{name}", flat)
    else:
        flat[prefix.lstrip(".")] = value


def diff_documents(old, new):
    """Return the differences between two documents.

    The revision and the author are not compared.

    :param old: The old :class:`Document`.
    :param new: The new :class:`Document`.
    :returns: Triples of key, old value and new value, sorted by key. The
        value of an absent key is None.
    """
    flat_old, flat_new = {}, {}
    _flatten(old, "", flat_old)
    _flatten(new, "", flat_new)
    return [
        (key, flat_old.get(key), flat_new.get(key))
        for key in sorted(flat_old.keys() | flat_new.keys())
        if key not in ("revision", "author")
        and flat_old.get(key) != flat_new.get(key)
    ]
