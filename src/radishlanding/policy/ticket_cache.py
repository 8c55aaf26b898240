"""Which VMs an advisor permits for a step, and until when."""

# An order takes up to 2.5 s to be carried out; a ticket that ends sooner may
# be refused there.
MIN_LEFT_S = 3.0


class TicketCache:
    """Hold the tickets of steps by boot of a worker.

    A step is named by its workflow, occurrence and number. An advisor's word
    about a step does not change, so that boots without a ticket are not asked
    about again; tickets end, and are asked for anew.
    """

    __slots__ = ("_asked", "_tickets")

    def __init__(self):
        """Start without tickets."""
        self._asked = {}
        self._tickets = {}

    def add(self, step, boots, tickets, *, until_s):
        """Take an advisor's answer.

        :param step: Name of the step.
        :param boots: Boots that it was asked about.
        :param tickets: Ticket by boot for those that may run the step.
        :param until_s: When the tickets end, on the boot clock.
        """
        self._asked.setdefault(step, set()).update(boots)
        known = self._tickets.setdefault(step, {})
        for boot, ticket in tickets.items():
            known[boot] = (ticket, until_s)

    def ticket(self, step, boot, *, now_s):
        """Return the ticket of a boot for a step, empty without one."""
        ticket, until_s = self._tickets.get(step, {}).get(boot, ("", 0.0))
        return ticket if until_s - now_s >= MIN_LEFT_S else ""

    def unasked_boots(self, step, boots, *, now_s):
        """Return the boots about which an advisor has to be asked.

        :param step: Name of the step.
        :param boots: Boots that could run it.
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
        """Forget a ticket that a worker has refused."""
        if self._tickets.get(step, {}).pop(boot, None) is not None:
            self._asked[step].discard(boot)

    def retain(self, steps):
        """Forget all other steps."""
        for known in (self._asked, self._tickets):
            for step in known.keys() - steps:
                del known[step]
