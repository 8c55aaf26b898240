"""A question to an advisor."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AdviceQuery:
    """Which of some boots may run a step.

    :param step: Identity of the step.
    :param boots: Boots of workers.
    :param timing: :class:`radishlanding.config.AdvisorTiming` of its queue.
    """

    step: tuple
    boots: list[str]
    timing: object

    @property
    def expected_s(self):
        """Return how long the advisor takes for the answer, in seconds."""
        timing = self.timing
        return (timing.decide_ms + timing.each_ms * len(self.boots)) / 1000
