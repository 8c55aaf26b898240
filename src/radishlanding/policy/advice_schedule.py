"""Chooses what to ask an advisor next."""

import functools

from radishlanding.policy.advice_query import AdviceQuery

# Limit of an advisor's API.
MAX_BOOTS_PER_QUERY = 100
# Leaves most of a ticket's time after the answer.
MAX_ANSWER_SHARE = 0.25
# Bounds how long an urgent step waits for the answer about another one.
MAX_ANSWER_MS = 2000


class AdviceSchedule:
    """Order the questions about steps by what they gain.

    An advisor answers one question of a process at a time. Steps with waiting
    tasks go first, and among them boots that nothing is known of. Tickets of
    such steps that have expired are asked for again in turn, so that a step
    which finds no VM keeps none of the others from their tickets. A step whose
    last question failed takes turns with them. Tickets of other steps come
    last.
    """

    __slots__ = ("_asked_s", "_failed", "_tickets")

    def __init__(self, *, tickets):
        """Start without questions.

        :param tickets: The :class:`TicketCache` that the answers go to.
        """
        # When each step was asked about last, on the boot clock.
        self._asked_s = {}
        # Steps whose last question got no usable answer.
        self._failed = set()
        self._tickets = tickets

    def choose(self, steps, *, now_s):
        """Return the next question, None if there is none.

        :param steps: :class:`AdvisedStep` objects, the most urgent first.
        :param now_s: Time on the boot clock, in seconds.
        :returns: An :class:`AdviceQuery`.
        """
        best, best_key = None, None
        for item in steps:
            boots = self._tickets.unasked_boots(
                item.step, item.boots, now_s=now_s
            )
            if not boots:
                continue
            # Without a ticket first, then the oldest ticket.
            boots.sort(
                key=functools.partial(self._tickets.issued_s, item.step)
            )
            key = self._key(item, boots)
            if best is None or key < best_key:
                best, best_key = (item, boots), key
        if best is None:
            return None
        item, boots = best
        self._asked_s[item.step] = now_s
        return AdviceQuery(
            step=item.step,
            boots=boots[: _max_boots(item.timing)],
            timing=item.timing,
        )

    def _key(self, item, boots):
        """Return the sort key of a question; the order of steps breaks ties.

        :param boots: The boots to be asked about, those without a ticket
            first.
        """
        if not item.is_waiting:
            return 2, 0.0
        has_failed = item.step in self._failed
        if not has_failed and not self._tickets.issued_s(item.step, boots[0]):
            return 0, 0.0
        return 1, self._asked_s.get(item.step, 0.0)

    def record_answer(self, step):
        """Record that the last question about a step was answered."""
        self._failed.discard(step)

    def record_failure(self, step):
        """Record that the last question about a step got no usable answer."""
        self._failed.add(step)

    def retain(self, steps):
        """Drop all other steps.

        :param steps: Identities of steps.
        """
        for step in self._asked_s.keys() - steps:
            del self._asked_s[step]
        self._failed &= steps


def _max_boots(timing):
    """Return how many boots a question names, so that its tickets are of use.

    :param timing: A :class:`radishlanding.config.AdvisorTiming`.
    """
    if not timing.each_ms:
        return MAX_BOOTS_PER_QUERY
    answer_ms = min(MAX_ANSWER_SHARE * timing.valid_ms, MAX_ANSWER_MS)
    count = int((answer_ms - timing.decide_ms) // timing.each_ms)
    return min(max(count, 1), MAX_BOOTS_PER_QUERY)
