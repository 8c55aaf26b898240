"""A workflow that waits to be recorded."""

import dataclasses

import trio

from radishlanding.workflow import Workflow


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Submission:
    """A new workflow, or a cancellation, and whether it is on record.

    :param workflow: The workflow, None for a cancellation.
    :param is_collected: Whether an entry that names it was sent.
    :param is_recorded: Whether that entry is on record.
    :param is_released: Whether another leader may be asked instead.
    :param settled: Set once that is known, or will never be here.
    """

    workflow: Workflow | None = None
    is_collected: bool = False
    is_recorded: bool = False
    is_released: bool = False
    settled: trio.Event = dataclasses.field(default_factory=trio.Event)
