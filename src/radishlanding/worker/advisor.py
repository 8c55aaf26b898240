"""Interface of a site's advisor."""

import typing


class Advisor(typing.Protocol):
    """Issue tickets for the workers that may run a step."""

    async def advise(self, step, worker_ids, *, timeout_s):
        """Return the tickets of the workers that may run a step.

        :param step: Name of the step, as ``workflow.occurrence.step``.
        :param worker_ids: Identities of at most 100 workers.
        :param timeout_s: How long to wait for the answer, in seconds.
        :returns: Tickets by worker; workers that may not run it are absent.
        :raises AdvisorUnavailable: The advisor gave no answer.
        """
