"""Makes a validated configuration document from plain values."""

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
    """Return a validated document.

    Wrong types and wrong values are reported together: the parts with valid
    types are checked even if other parts cannot be decoded.

    :param mapping: Fields of the document, as decoded from TOML or JSON.
    :param source: Name of the input for the findings.
    :raises InvalidInput: The document is invalid; holds all findings.
    """
    findings = []
    try:
        document = structure(Document, mapping, source=source)
    except InvalidInput as exc:
        findings += exc.exceptions
        document = _decode_valid_parts(mapping)
    try:
        check_document(document, source=source)
    except InvalidInput as exc:
        findings += exc.exceptions
    if findings:
        raise InvalidInput(f"{source}: {len(findings)} findings", findings)
    return document


def _decode_valid_parts(mapping):
    """Return a document of the parts that can be decoded.

    A zone or organisation that cannot be decoded is replaced by one that
    passes all checks, so that no finding about it is reported twice.
    """
    if not isinstance(mapping, dict):
        return Document(zones={"": Zone()})
    shards = mapping.get("shards")
    document = Document(
        shards=shards if type(shards) is int else 1,
        zones=_decode_table(mapping, "zones", Zone, Zone()),
        organisations=_decode_table(
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
        document.templates = _decode_table(
            mapping, "templates", Template, None
        )
    elif "zones" in mapping:
        document.zones = {"": Zone()}
    return document


def _decode_table(mapping, field, cls, replacement):
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
