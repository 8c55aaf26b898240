"""Decides which workflows are not accepted."""

import math

from radishlanding.policy.refusal_budget import RefusalBudget

# Margin for the uncertainty of the run times, in standard deviations.
SPREAD_MARGIN = 2.0
# Callers are asked back within this time, as the load may fall sooner.
MAX_RETRY_AFTER_S = 30
# Longest delay of the first one of several, which leaves room for the others.
MAX_FIRST_S = 15


class Admission:
    """Refuse workflows whose results would be worth nothing.

    A result is worth something within three times its objective. The
    decision needs learned run times, no VM that would take a task now, and
    the :class:`RefusalBudget` of the queue, so that a wrong prediction closes
    no queue.
    """

    __slots__ = ("_budgets", "_return_ms")

    def __init__(self):
        """Start without refusals."""
        self._budgets = {}
        # When the last refused caller of each queue is to return.
        self._return_ms = {}

    def retry_after_s(self, prospect, *, now_ms):
        """Return after how many seconds to submit again, 0 to accept now.

        :param prospect: The :class:`Prospect` of the workflow.
        :param now_ms: Unix time, in milliseconds.
        """
        budget = self._budgets.setdefault(prospect.queue, RefusalBudget())
        if not self._is_hopeless(prospect) or not budget.allows_refusal():
            budget.record(is_refused=False)
            return 0
        budget.record(is_refused=True)
        return self._in_turn_s(prospect, now_ms)

    def _is_hopeless(self, prospect):
        """Return whether a result would surely be worth nothing."""
        if not prospect.samples or prospect.has_room:
            return False
        margin = 1 + SPREAD_MARGIN * prospect.spread
        return prospect.end_ms > margin * prospect.limit_ms

    def _in_turn_s(self, prospect, now_ms):
        """Return when the caller of a refused workflow is to return.

        The first one returns when its workflow is expected to end within the
        limit; each further one of the queue after the work of the last, until
        the longest delay is reached.
        """
        first_ms = now_ms + min(
            prospect.end_ms - prospect.limit_ms, 1000 * MAX_FIRST_S
        )
        own_ms = prospect.duration_ms(prospect.core_ms)
        return_ms = max(
            first_ms, self._return_ms.get(prospect.queue, 0) + own_ms
        )
        if return_ms > now_ms + 1000 * MAX_RETRY_AFTER_S:
            return_ms = first_ms
        self._return_ms[prospect.queue] = return_ms
        return max(1, math.ceil((return_ms - now_ms) / 1000))
