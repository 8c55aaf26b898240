"""An advisor in memory."""

import trio

from radishlanding.worker import AdvisorUnavailable


class FakeAdvisor:
    """Permit some workers and issue new tickets with each answer."""

    __slots__ = ("_permitted", "_unanswered", "steps", "took_s")

    def __init__(self, *, permitted, unanswered=0):
        """Initialise the advisor.

        :param permitted: Identities of the permitted workers.
        :param unanswered: Number of calls that fail at first.
        """
        self._permitted = permitted
        self._unanswered = unanswered
        self.steps = []
        self.took_s = 0.0

    async def advise(self, step, worker_ids, *, timeout_s):
        """Return the tickets of the permitted workers."""
        self.steps.append(step)
        await trio.sleep(self.took_s)
        if len(self.steps) <= self._unanswered:
            raise AdvisorUnavailable("no answer")
        return {
            name: f"{step}/{name}/{len(self.steps)}"
            for name in worker_ids
            if name in self._permitted
        }
