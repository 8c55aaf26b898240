"""Makes a checked configuration document from plain values."""

from radishlanding.config.check import check_document
from radishlanding.config.check import MAX_ACCELERATORS
from radishlanding.config.check import MAX_MEMORY_MB
from radishlanding.config.check import MAX_PROCESSORS
from radishlanding.config.document import Document
from radishlanding.config.organisation import Organisation
from radishlanding.config.template import Template
from radishlanding.config.zone import Zone
from radishlanding.findings import InvalidInput
from radishlanding.findings import structure


def make_document(mapping, *, source):
    """Return a document that is sound by itself.

    :param mapping: Its fields, as a TOML or JSON reader gives them.
    :param source: Name of the input for the findings.
    :raises InvalidInput: It has findings. Those about the sound parts are
        named together with those about the others.
    """
    findings = []
    try:
        document = structure(Document, mapping, source=source)
    except InvalidInput as exc:
        findings += exc.exceptions
        document = _sound_part(mapping)
    try:
        check_document(document, source=source)
    except InvalidInput as exc:
        findings += exc.exceptions
    if findings:
        raise InvalidInput(f"{source}: {len(findings)} findings", findings)
    return document


def _sound_part(mapping):
    """Return a document of what can be read.

    A zone or organisation that cannot be read is replaced by one that
    gives rise to no finding, so that nothing is said of it twice.
    """
    if not isinstance(mapping, dict):
        return Document(zones={"": Zone()})
    shards = mapping.get("shards")
    document = Document(
        shards=shards if type(shards) is int else 1,
        zones=_read_each(mapping, "zones", Zone, Zone()),
        organisations=_read_each(
            mapping,
            "organisations",
            Organisation,
            Organisation(
                processors=MAX_PROCESSORS,
                memory_mb=MAX_MEMORY_MB,
                accelerators=MAX_ACCELERATORS,
            ),
        ),
    )
    if document.zones:
        document.templates = _read_each(mapping, "templates", Template, None)
    elif "zones" in mapping:
        document.zones = {"": Zone()}
    return document


def _read_each(mapping, field, cls, replacement):
    table = mapping.get(field)
    if not isinstance(table, dict):
        return {}
    items = {}
    for name, value in table.items():
        try:
            items[name] = structure(cls, value, source=field)
        except InvalidInput:
            items[name] = replacement
    return {name: item for name, item in items.items() if item is not None}
