"""The operators' configuration document."""

import dataclasses

from radishlanding.config.organisation import Organisation
from radishlanding.config.template import Template
from radishlanding.config.zone import Zone


@dataclasses.dataclass(slots=True, kw_only=True)
class Document:
    """One revision of the configuration.

    :param revision: Revision number; each change increments it.
    :param author: Who made the revision.
    :param shards: Number of shards; must not change after the first revision.
    :param zones: Availability zones by name.
    :param organisations: Organisations by name.
    :param templates: Templates by name.
    """

    revision: int = 0
    author: str = ""
    shards: int = 1
    zones: dict[str, Zone] = dataclasses.field(default_factory=dict)
    organisations: dict[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    templates: dict[str, Template] = dataclasses.field(default_factory=dict)

    def zones_out(self):
        """Return the names of the zones out of service, sorted."""
        return sorted(
            name for name, zone in self.zones.items() if not zone.in_service
        )
