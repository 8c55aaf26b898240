"""What became of start orders."""

import dataclasses

from radishlanding.message.task_end_report import TaskEndReport


@dataclasses.dataclass(slots=True, kw_only=True)
class StartOrdersAnswer:
    """Name the orders that were refused; the others are taken.

    :param clock_ms: The agent's clock after it took them, in milliseconds.
    :param refused: Attempts that never ran and never will.
    """

    clock_ms: int
    refused: list[TaskEndReport] = dataclasses.field(default_factory=list)
