"""An advisor in memory."""

from radishlanding.worker import AdvisorUnavailable


class FakeAdvisor:
    """Permit some workers, with a new ticket for each answer."""

    __slots__ = ("_permitted", "_unanswered", "steps")

    def __init__(self, *, permitted, unanswered=0):
        """Prepare.

        :param permitted: Identities of the workers that it permits.
        :param unanswered: Calls that get no answer at first.
        """
        self._permitted = permitted
        self._unanswered = unanswered
        self.steps = []

    async def advise(self, step, worker_ids):
        """Return the tickets of the permitted workers."""
        self.steps.append(step)
        if len(self.steps) <= self._unanswered:
            raise AdvisorUnavailable("no answer")
        return {
            name: f"{step}/{name}/{len(self.steps)}"
            for name in worker_ids
            if name in self._permitted
        }
