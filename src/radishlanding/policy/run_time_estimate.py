"""Expected run time of a task."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunTimeEstimate:
    """Expected run time of one task of a step.

    :param run_ms: Expected run time at full pace, in milliseconds.
    :param spread: Relative standard deviation of the run time.
    :param samples: Weight of the observations behind the estimate, 0 if it
        is the caller's figure alone.
    """

    run_ms: float
    spread: float
    samples: float
