"""How many workflows wait."""

import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class BacklogAnswer:
    """Say how many workflows of a queue have not begun.

    :param waiting: Their number.
    """

    waiting: int
