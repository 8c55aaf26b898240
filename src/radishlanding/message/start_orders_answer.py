"""Reply to start orders."""

import dataclasses

from radishlanding.message.task_end_report import TaskEndReport


@dataclasses.dataclass(slots=True, kw_only=True)
class StartOrdersAnswer:
    """Return the start orders that are refused; the others are accepted.

    An agent replies with it to a :class:`StartOrders`.

    :param clock_ms: Time on the agent's clock at acceptance, in milliseconds.
    :param refused: Attempts that never ran and never will.
    """

    clock_ms: int
    refused: list[TaskEndReport] = dataclasses.field(default_factory=list)
