"""The attempts of one request at an entry."""

import trio

from radishlanding.request import Outcome
from radishlanding.request import Result


class Attempts:
    """Track the attempts of a request and derive its outcome."""

    __slots__ = (
        "_changed",
        "_count",
        "_done_result",
        "_reason",
        "excluded_vms",
        "is_retry_denied",
        "may_have_run",
        "pending_count",
    )

    def __init__(self):
        """Start without attempts."""
        self._changed = trio.Event()
        self._count = 0
        self._done_result = None
        self._reason = "no target has free capacity"
        self.is_retry_denied = False
        self.may_have_run = False
        self.pending_count = 0
        self.excluded_vms = set()

    @property
    def is_done(self):
        """Return whether an attempt has completed."""
        return self._done_result is not None

    def begin(self, vm):
        """Register an attempt at a VM and return its number.

        The VM is excluded from further attempts.
        """
        self._count += 1
        self.pending_count += 1
        self.excluded_vms.add(vm)
        return self._count

    def record_result(self, result):
        """Record the result of an attempt."""
        if result.outcome == Outcome.DONE:
            self._done_result = result
        self.record_end(result.outcome, result.reason)

    def record_end(self, outcome, reason):
        """Record the outcome of an attempt and the reason for it."""
        self.pending_count -= 1
        self.may_have_run |= outcome == Outcome.UNKNOWN
        self._reason = reason
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self, timeout_s):
        """Wait until an attempt ends or the timeout expires.

        After a timeout the pending attempts count as possibly run.

        :param timeout_s: Timeout, in seconds.
        """
        with trio.move_on_after(timeout_s) as scope:
            await self._changed.wait()
        self.may_have_run |= scope.cancelled_caught

    def result(self, req):
        """Return the result of the request.

        It is NOT_RUN only if no attempt is pending or may have run, here or
        under the same key before.

        :param req: A :class:`radishlanding.request.Request`.
        :returns: A :class:`radishlanding.request.Result`.
        """
        if self._done_result is not None:
            return self._done_result
        is_proven_not_run = req.has_generated_key and not self.may_have_run
        if is_proven_not_run and not self.pending_count:
            return Result(outcome=Outcome.NOT_RUN, reason=self._reason)
        return Result(outcome=Outcome.UNKNOWN, reason=self._reason)
