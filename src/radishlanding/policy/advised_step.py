"""A step that may run only where an advisor permits it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdvisedStep:
    """A step, and the boots that could run it.

    :param step: Identity of the step.
    :param boots: Boots of workers that could run it.
    :param timing: :class:`radishlanding.config.AdvisorTiming` of its queue.
    :param is_waiting: Whether a task of it may wait for a VM now.
    """

    step: tuple
    boots: list[str]
    timing: object
    is_waiting: bool
