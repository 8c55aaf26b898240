"""Number of tasks in one state."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class StateCount:
    """Number of a job's tasks in one state, in a :class:`JobSummary`.

    :param state: Name of the state.
    :param count: Number of tasks.
    """

    state: str
    count: int
