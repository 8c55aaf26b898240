"""Ask a scheduler for the processes it knows."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class GetStatus:
    """Ask a scheduler for the processes it knows."""
