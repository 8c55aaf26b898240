"""What the project asks of a site's advisor."""

import typing


class Advisor(typing.Protocol):
    """Tell which workers may run a step."""

    async def advise(self, step, worker_ids):
        """Return the tickets of the workers that may run a step.

        :param step: Name of the step, as ``workflow.occurrence.step``.
        :param worker_ids: Identities of workers, 100 at most.
        :returns: Ticket by worker.
        :raises AdvisorUnavailable: There was no answer.
        """
