"""Interface of a site's advisor."""

import typing


class Advisor(typing.Protocol):
    """Issue tickets for the workers that may run a step."""

    async def advise(self, step, worker_ids):
        """Return the tickets of the workers that may run a step.

        :param step: Name of the step, as ``workflow.occurrence.step``.
        :param worker_ids: Identities of at most 100 workers.
        :returns: Tickets by worker; workers that may not run it are absent.
        :raises AdvisorUnavailable: The advisor gave no answer.
        """
