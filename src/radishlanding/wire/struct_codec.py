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

    def __init__(self, cls, schema):
        """Look up the converters of all fields.

        :param cls: The dataclass.
        :param schema: The loaded schema, with a struct of the same name.
        """
        hints = typing.get_type_hints(cls)
        fields = getattr(schema, cls.__name__).schema.fields
        self._type = cls
        self._fields = [
            (
                name,
                _camel_case(name),
                fields[_camel_case(name)],
                _writer(hints[name], schema),
                _decoder(hints[name], schema),
            )
            for name in (field.name for field in dataclasses.fields(cls))
        ]

    def write(self, builder, message):
        """Copy a message into a new struct.

        Fields that are zero, false or empty are left out, as they read the
        same.

        :param builder: Builder of the struct.
        :param message: An instance of the dataclass.
        """
        for name, key, _, write, _ in self._fields:
            value = getattr(message, name)
            if value:
                write(builder, key, value)

    def from_reader(self, reader):
        """Return the message that a struct contains.

        :param reader: Reader of the struct.
        :raises ValueError: A field has an unknown enum value.
        """
        # Spares a lookup by name for each field. The underscore only keeps
        # the method apart from the struct's fields.
        get = reader._get_by_field
        return self._type(
            **{
                name: get(field) if decode is None else decode(get(field))
                for name, _, field, _, decode in self._fields
            }
        )


def _writer(hint, schema):
    """Return the callable that sets a field of a struct.

    Setting fields directly spares pycapnp the conversion of a mapping.

    :param hint: Type hint of the field.
    :param schema: The loaded schema.
    :returns: A callable that takes the struct's builder, the field's name in
        the schema and the value.
    """
    if typing.get_origin(hint) is list:
        return _list_writer(typing.get_args(hint)[0], schema)
    if dataclasses.is_dataclass(hint):
        codec = StructCodec(hint, schema)
        return lambda builder, key, value: codec.write(
            builder.init(key), value
        )
    if issubclass(hint, enum.Enum):
        return lambda builder, key, value: setattr(builder, key, str(value))
    return setattr


def _list_writer(hint, schema):
    """Return the callable that sets a field that is a list.

    :param hint: Type hint of the list's items.
    :param schema: The loaded schema.
    """
    if not dataclasses.is_dataclass(hint):
        is_enum = issubclass(hint, enum.Enum)

        def write_values(builder, key, values):
            setattr(
                builder, key, list(map(str, values) if is_enum else values)
            )

        return write_values
    codec = StructCodec(hint, schema)

    def write_structs(builder, key, values):
        structs = builder.init(key, len(values))
        for index, value in enumerate(values):
            codec.write(structs[index], value)

    return write_structs


def _decoder(hint, schema):
    """Return the callable that converts a value from the wire.

    :param hint: Type hint of the value.
    :param schema: The loaded schema.
    :returns: The callable, None for values that need no conversion.
    """
    if typing.get_origin(hint) is list:
        decode = _decoder(typing.get_args(hint)[0], schema)
        if decode is None:
            return list
        return lambda values: [decode(value) for value in values]
    if dataclasses.is_dataclass(hint):
        return StructCodec(hint, schema).from_reader
    if issubclass(hint, enum.Enum):
        return hint
    return None
