"""An availability zone."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class Zone:
    """One availability zone.

    :param in_service: Whether work may start there.
    """

    in_service: bool = True
