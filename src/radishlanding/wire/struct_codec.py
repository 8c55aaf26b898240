"""Converts one message type to and from its Cap'n Proto struct."""

import dataclasses
import enum
import typing


def _camel_case(name):
    first, *rest = name.split("_")
    return first + "".join(word.title() for word in rest)


class StructCodec:
    """Convert a dataclass whose fields mirror those of a struct.

    Field types may be numbers, ``str``, ``bytes``, string enums, other
    such dataclasses and lists of them.
    """

    __slots__ = ("_fields", "_type")

    def __init__(self, cls):
        """Plan the conversion.

        :param cls: The dataclass.
        """
        hints = typing.get_type_hints(cls)
        self._type = cls
        self._fields = [
            (field.name, _camel_case(field.name), *_plan(hints[field.name]))
            for field in dataclasses.fields(cls)
        ]

    def to_mapping(self, message):
        """Return the struct's fields by their schema names."""
        return {
            key: value if pack is None else pack(value)
            for name, key, pack, _ in self._fields
            for value in (getattr(message, name),)
        }

    def from_reader(self, reader):
        """Return the message that a struct reader holds.

        :raises ValueError: A field holds an unknown enum value.
        """
        return self._type(
            **{
                name: value if unpack is None else unpack(value)
                for name, key, _, unpack in self._fields
                for value in (getattr(reader, key),)
            }
        )


def _plan(hint):
    """Return the packing and unpacking callables, None for as it is."""
    if typing.get_origin(hint) is list:
        pack, unpack = _plan(typing.get_args(hint)[0])
        if pack is None and unpack is None:
            return list, list
        return (
            lambda values: [pack(value) for value in values],
            lambda values: [unpack(value) for value in values],
        )
    if dataclasses.is_dataclass(hint):
        codec = StructCodec(hint)
        return codec.to_mapping, codec.from_reader
    if issubclass(hint, enum.Enum):
        return str, hint
    return None, None
