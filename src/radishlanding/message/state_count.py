"""Number of tasks in one state."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class StateCount:
    """Number of tasks in one state.

    :param state: Name of the state.
    :param count: Number of tasks.
    """

    state: str
    count: int
