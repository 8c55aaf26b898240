"""Caches an advisor's answers about which VMs may run a step."""

from radishlanding.policy.ticket import Ticket


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

    def add(self, step, boots, tickets, *, issued_s, valid_s):
        """Add an advisor's answer.

        :param step: Identity of the step.
        :param boots: Boots that the question named.
        :param tickets: Ticket by boot for those that may run the step.
        :param issued_s: When the tickets became valid, on the boot clock, in
            seconds.
        :param valid_s: For how long they are valid, in seconds.
        """
        self._asked.setdefault(step, set()).update(boots)
        known = self._tickets.setdefault(step, {})
        for boot, text in tickets.items():
            known[boot] = Ticket(text=text, issued_s=issued_s, valid_s=valid_s)

    def ticket(self, step, boot, *, now_s):
        """Return a ticket that an order may still use, empty for none.

        :param step: Identity of the step.
        :param boot: Boot of a worker.
        :param now_s: Time on the boot clock, in seconds.
        """
        ticket = self._tickets.get(step, {}).get(boot)
        if ticket is None or not ticket.is_usable(now_s):
            return ""
        return ticket.text

    def latest(self, step, boot):
        """Return the newest ticket of a boot for a step, empty for none.

        It may have expired, which the worker decides.

        :param step: Identity of the step.
        :param boot: Boot of a worker.
        """
        ticket = self._tickets.get(step, {}).get(boot)
        return "" if ticket is None else ticket.text

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

    def issued_s(self, step, boot):
        """Return when the ticket of a boot was issued, 0 if it has none.

        :param step: Identity of the step.
        :param boot: Boot of a worker.
        """
        ticket = self._tickets.get(step, {}).get(boot)
        return 0.0 if ticket is None else ticket.issued_s

    def count_known(self, step, boots):
        """Return how many of some boots have had a ticket, usable or not.

        :param step: Identity of the step.
        :param boots: Boots of workers.
        """
        known = self._tickets.get(step, {})
        return sum(boot in known for boot in boots)

    def invalidate(self, step, boot):
        """Drop a ticket that a worker has refused."""
        if self._tickets.get(step, {}).pop(boot, None) is not None:
            self._asked[step].discard(boot)

    def retain(self, steps):
        """Drop all other steps."""
        for known in (self._asked, self._tickets):
            for step in known.keys() - steps:
                del known[step]
