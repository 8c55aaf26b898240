"""What a submitted workflow can expect."""

import dataclasses

from radishlanding.policy.tier import EXPIRY_FACTOR


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Prospect:
    """Expected completion of a workflow that has not been accepted.

    :param queue: Name of its queue.
    :param core_ms: Its work, in core-milliseconds.
    :param ahead_core_ms: Work that goes before it, in core-milliseconds.
    :param millicores: Processors that work on it and on what goes before it.
    :param path_ms: Time that its steps take at least, in milliseconds.
    :param objective_ms: Time to complete within, in milliseconds.
    :param spread: Relative standard deviation of its run times.
    :param samples: Weight of the observations behind them, 0 for none.
    :param has_room: Whether a VM would take one of its tasks now.
    """

    queue: str
    core_ms: float
    ahead_core_ms: float
    millicores: float
    path_ms: float
    objective_ms: float
    spread: float
    samples: float
    has_room: bool

    @property
    def wait_ms(self):
        """Return how long what goes before it takes, in milliseconds."""
        return self.duration_ms(self.ahead_core_ms)

    @property
    def end_ms(self):
        """Return when it is expected to be done, in milliseconds from now."""
        return self.wait_ms + self.path_ms

    @property
    def limit_ms(self):
        """Return when its result is worth nothing, in ms from now."""
        return EXPIRY_FACTOR * self.objective_ms

    def duration_ms(self, core_ms):
        """Return how long some work takes, in milliseconds."""
        return core_ms * 1000 / max(self.millicores, 1.0)
