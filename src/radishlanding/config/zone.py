"""An availability zone."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Zone:
    """An availability zone.

    :param in_service: Whether work may start in the zone.
    """

    in_service: bool = True
