"""Caches an advisor's answers about which VMs may run a step."""

# An order takes up to 2.5 s to be carried out; by then a ticket with less
# time left may have expired, and the worker refuses it.
MIN_REMAINING_S = 3.0


class TicketCache:
    """Hold the tickets of each step by the boot of a worker.

    A ticket is an advisor's permission to run a step on one boot; the worker
    checks it. A step is identified by workflow, occurrence and number. An
    advisor does not change its answer about a step, so a boot that was denied
    a ticket is not asked about again. Tickets expire, and are then asked for
    again.
    """

    __slots__ = ("_asked", "_tickets")

    def __init__(self):
        """Start without tickets."""
        self._asked = {}
        self._tickets = {}

    def add(self, step, boots, tickets, *, until_s):
        """Add an advisor's answer.

        :param step: Identity of the step.
        :param boots: Boots that the question named.
        :param tickets: Ticket by boot for those that may run the step.
        :param until_s: Expiry of the tickets on the boot clock, in seconds.
        """
        self._asked.setdefault(step, set()).update(boots)
        known = self._tickets.setdefault(step, {})
        for boot, ticket in tickets.items():
            known[boot] = (ticket, until_s)

    def ticket(self, step, boot, *, now_s):
        """Return the ticket of a boot for a step, empty for none.

        :param step: Identity of the step.
        :param boot: Boot of a worker.
        :param now_s: Time on the boot clock, in seconds.
        """
        ticket, until_s = self._tickets.get(step, {}).get(boot, ("", 0.0))
        return ticket if until_s - now_s >= MIN_REMAINING_S else ""

    def unasked_boots(self, step, boots, *, now_s):
        """Return the boots about which the advisor has to be asked.

        :param step: Identity of the step.
        :param boots: Boots that could run it.
        :param now_s: Time on the boot clock, in seconds.
        """
        asked = self._asked.get(step, ())
        tickets = self._tickets.get(step, {})
        return [
            boot
            for boot in boots
            if boot not in asked
            or (boot in tickets and not self.ticket(step, boot, now_s=now_s))
        ]

    def invalidate(self, step, boot):
        """Drop a ticket that a worker has refused."""
        if self._tickets.get(step, {}).pop(boot, None) is not None:
            self._asked[step].discard(boot)

    def retain(self, steps):
        """Drop all other steps."""
        for known in (self._asked, self._tickets):
            for step in known.keys() - steps:
                del known[step]
