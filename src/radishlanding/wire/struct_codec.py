"""Conversion of one message type to and from its Cap'n Proto struct."""

import dataclasses
import enum
import typing


def _camel_case(name):
    first, *rest = name.split("_")
    return first + "".join(word.title() for word in rest)


class StructCodec:
    """Convert instances of a dataclass that mirrors a struct.

    The struct has the same fields, named in camel case. Field types may be
    numbers, ``bool``, ``str``, ``bytes``, string enums, other such
    dataclasses, and lists of all these.
    """

    __slots__ = ("_fields", "_type")

    def __init__(self, cls):
        """Look up the converters of all fields.

        :param cls: The dataclass.
        """
        hints = typing.get_type_hints(cls)
        self._type = cls
        self._fields = [
            (
                field.name,
                _camel_case(field.name),
                *_converters(hints[field.name]),
            )
            for field in dataclasses.fields(cls)
        ]

    def to_mapping(self, message):
        """Return a message as a mapping of schema names to values.

        :param message: An instance of the dataclass.
        """
        return {
            key: value if encode is None else encode(value)
            for name, key, encode, _ in self._fields
            for value in (getattr(message, name),)
        }

    def from_reader(self, reader):
        """Return the message that a struct contains.

        :param reader: Reader of the struct.
        :raises ValueError: A field has an unknown enum value.
        """
        return self._type(
            **{
                name: value if decode is None else decode(value)
                for name, key, _, decode in self._fields
                for value in (getattr(reader, key),)
            }
        )


def _converters(hint):
    """Return the callables that convert a value to and from the wire.

    :param hint: Type hint of the value.
    :returns: A pair of callables, None for values that need no conversion.
    """
    if typing.get_origin(hint) is list:
        encode, decode = _converters(typing.get_args(hint)[0])
        if encode is None and decode is None:
            return list, list
        return (
            lambda values: [encode(value) for value in values],
            lambda values: [decode(value) for value in values],
        )
    if dataclasses.is_dataclass(hint):
        codec = StructCodec(hint)
        return codec.to_mapping, codec.from_reader
    if issubclass(hint, enum.Enum):
        return str, hint
    return None, None
