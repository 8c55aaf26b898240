"""Reads typed objects from TOML and reports every finding."""

import enum
import pathlib
import tomllib

import cattrs

from radishlanding.findings.collector import Collector


def _strict(kind, accepted):
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
    converter.register_structure_hook(str, _strict(str, str))
    converter.register_structure_hook(int, _strict(int, int))
    converter.register_structure_hook(float, _strict(float, (int, float)))
    converter.register_structure_hook(bool, _strict(bool, bool))
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
    :param mapping: Its fields, as a TOML or JSON reader gives them.
    :param source: Name of the input for the findings.
    :raises InvalidInput: Keys are unknown or missing, or values have wrong
        types; all of them are named.
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
    """Return the values of a TOML file.

    :raises InvalidInput: The file cannot be read, or is no TOML; the
        finding names the line.
    """
    collector = Collector(source=str(path))
    try:
        return tomllib.loads(pathlib.Path(path).read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        collector.add(key="", problem=str(exc))
        collector.raise_if_any()
        raise
