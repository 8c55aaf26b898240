"""Validates the values and references of a configuration document."""

from radishlanding.config.kind import Kind
from radishlanding.findings import Collector

MAX_SHARDS = 4096
MAX_PROCESSORS = 4096
MAX_MEMORY_MB = 64 * 1024 * 1024
MAX_ACCELERATORS = 1024


def _check_resources(resources, key, collector):
    limits = (
        ("processors", MAX_PROCESSORS),
        ("memory_mb", MAX_MEMORY_MB),
        ("accelerators", MAX_ACCELERATORS),
    )
    for name, limit in limits:
        if not 0 <= getattr(resources, name) <= limit:
            collector.add(
                key=f"{key}.{name}", problem=f"must be from 0 to {limit}"
            )


def _check_request(template, key, collector):
    if not template.service:
        collector.add(key=f"{key}.service", problem="is required for requests")
    if not 0 < template.deadline_ms <= 3_600_000:
        collector.add(
            key=f"{key}.deadline_ms",
            problem="must be from 1 to 3600000",
        )
    if not 0 < template.objective < 1:
        collector.add(
            key=f"{key}.objective", problem="must lie between 0 and 1"
        )


def _check_batch(template, organisation, key, collector):
    if template.processors <= 0 or template.memory_mb <= 0:
        collector.add(
            key=key, problem="a batch task needs processors and memory_mb"
        )
    if template.checkpoint_every_s < 0:
        collector.add(
            key=f"{key}.checkpoint_every_s", problem="must not be negative"
        )
    if template.max_tasks < 1:
        collector.add(key=f"{key}.max_tasks", problem="must be at least 1")
    for name in ("processors", "memory_mb", "accelerators"):
        if organisation is not None and getattr(template, name) > getattr(
            organisation, name
        ):
            collector.add(
                key=f"{key}.{name}",
                problem="one task exceeds the organisation's quota",
            )


def _check_template(name, document, collector):
    key = f"templates.{name}"
    template = document.templates[name]
    organisation = document.organisations.get(template.organisation)
    if organisation is None:
        collector.add(
            key=f"{key}.organisation",
            problem=f"unknown organisation {template.organisation}",
        )
    if not template.zones:
        collector.add(
            key=f"{key}.zones", problem="must name at least one zone"
        )
    for index, zone in enumerate(template.zones):
        if zone not in document.zones:
            collector.add(
                key=f"{key}.zones[{index}]", problem=f"unknown zone {zone}"
            )
    if len(set(template.zones)) < len(template.zones):
        collector.add(
            key=f"{key}.zones", problem="names a zone more than once"
        )
    _check_resources(template, key, collector)
    if template.kind == Kind.REQUEST:
        _check_request(template, key, collector)
    else:
        _check_batch(template, organisation, key, collector)


def check_document(document, *, source):
    """Check the values and references of a document.

    :param document: The :class:`Document`.
    :param source: Name of the input for the findings.
    :raises InvalidInput: The document is invalid; holds all findings.
    """
    collector = Collector(source=source)
    if not 1 <= document.shards <= MAX_SHARDS:
        collector.add(key="shards", problem=f"must be from 1 to {MAX_SHARDS}")
    if not document.zones:
        collector.add(key="zones", problem="must not be empty")
    for name, organisation in document.organisations.items():
        _check_resources(organisation, f"organisations.{name}", collector)
        if organisation.requests < 0:
            collector.add(
                key=f"organisations.{name}.requests",
                problem="must not be negative",
            )
    for name in document.templates:
        _check_template(name, document, collector)
    collector.raise_if_any()
