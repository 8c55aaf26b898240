"""Reply with the length of a queue."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class BacklogAnswer:
    """Return how many workflows of a queue have not started.

    A leader replies with it to a :class:`GetBacklog`.

    :param waiting: Number of these workflows.
    """

    waiting: int
