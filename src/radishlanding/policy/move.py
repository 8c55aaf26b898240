"""A chosen move of a task."""

import dataclasses

from radishlanding.workflow import TaskRecord


@dataclasses.dataclass(slots=True, kw_only=True)
class Move:
    """Stop of a task so that it is placed on another VM.

    :param task: Its record.
    :param here_ms: Predicted time to its end where it runs, in milliseconds.
    :param there_ms: Predicted time to its end after the move, in
        milliseconds.
    """

    task: TaskRecord
    here_ms: float
    there_ms: float

    @property
    def gain_ms(self):
        """Return the predicted gain, in milliseconds."""
        return self.here_ms - self.there_ms
