"""Converts TOML or JSON values to typed objects, with all findings."""

import enum
import pathlib
import tomllib

import cattrs

from radishlanding.findings.collector import Collector


def _make_strict_hook(kind, accepted):
    """Return a hook that converts no value of another type.

    :param kind: Type of the result; an enum is made from its value.
    :param accepted: Accepted type or types of a value.
    """

    def hook(value, cls):
        if issubclass(cls, enum.Enum):
            return cls(value)
        if isinstance(value, bool) is not (kind is bool):
            raise ValueError(f"must be {kind.__name__}, not {value!r}")
        if not isinstance(value, accepted):
            raise ValueError(f"must be {kind.__name__}, not {value!r}")
        return kind(value)

    return hook


def _make_converter():
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _make_strict_hook(str, str))
    converter.register_structure_hook(int, _make_strict_hook(int, int))
    converter.register_structure_hook(
        float, _make_strict_hook(float, (int, float))
    )
    converter.register_structure_hook(bool, _make_strict_hook(bool, bool))
    return converter


_converter = _make_converter()


def _describe(exc, _cls):
    if isinstance(exc, KeyError):
        return f"required key {exc} is missing"
    if isinstance(exc, cattrs.ForbiddenExtraKeysError):
        names = ", ".join(sorted(exc.extra_fields))
        return f"unknown key: {names}"
    if isinstance(exc, AttributeError | TypeError):
        return "must be a table"
    return str(exc)


def structure(cls, mapping, *, source):
    """Return an object of a dataclass from plain values.

    :param cls: The dataclass.
    :param mapping: Fields of the object, as decoded from TOML or JSON.
    :param source: Name of the input for the findings.
    :raises InvalidInput: Keys are unknown or missing, or values have wrong
        types; holds all findings.
    """
    if not isinstance(mapping, dict):
        collector = Collector(source=source)
        collector.add(key="", problem=f"must be a table, not {mapping!r}")
        collector.raise_if_any()
    try:
        return _converter.structure(mapping, cls)
    except cattrs.BaseValidationError as exc:
        collector = Collector(source=source)
        for text in cattrs.transform_error(
            exc, path="", format_exception=_describe
        ):
            problem, _, key = text.rpartition(" @ ")
            key = key.lstrip(".").replace("['", ".").replace("']", "")
            collector.add(key=key, problem=problem)
        collector.raise_if_any()
        raise


def read_toml(path):
    """Return the contents of a TOML file as a mapping.

    :param path: Path of the file.
    :raises InvalidInput: The file cannot be read, or is not valid TOML; the
        finding has the line of a syntax error.
    """
    collector = Collector(source=str(path))
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        collector.add(key="", problem=str(exc))
        collector.raise_if_any()
        raise
    except RecursionError:
        collector.add(key="", problem="is nested too deeply")
        collector.raise_if_any()
        raise
