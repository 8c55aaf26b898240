"""The attempts of one request at an entry."""

import trio

from radishlanding.request import Outcome
from radishlanding.request import Result


class Attempts:
    """Hold what is known of a request's attempts so far."""

    __slots__ = (
        "_changed",
        "_count",
        "_done",
        "_reason",
        "is_refused_retry",
        "may_have_run",
        "open_count",
        "unwanted",
    )

    def __init__(self):
        """Start with no attempt."""
        self._changed = trio.Event()
        self._count = 0
        self._done = None
        self._reason = "no target can take it"
        self.is_refused_retry = False
        self.may_have_run = False
        self.open_count = 0
        self.unwanted = set()

    @property
    def is_done(self):
        """Return whether an attempt was answered."""
        return self._done is not None

    def begin(self, vm):
        """Count an attempt at a VM and return its number."""
        self._count += 1
        self.open_count += 1
        self.unwanted.add(vm)
        return self._count

    def take(self, result):
        """Note the result of an attempt."""
        if result.outcome == Outcome.DONE:
            self._done = result
        self.end(result.outcome, result.reason)

    def end(self, outcome, reason):
        """Note how an attempt ended, and why."""
        self.open_count -= 1
        self.may_have_run |= outcome == Outcome.UNKNOWN
        self._reason = reason
        self._changed.set()
        self._changed = trio.Event()

    async def wait(self, timeout_s):
        """Wait until an attempt ends, or the time is over.

        An attempt that is still open then may have run.
        """
        with trio.move_on_after(timeout_s) as scope:
            await self._changed.wait()
        self.may_have_run |= scope.cancelled_caught

    def result(self, req):
        """Return the result of the request."""
        if self._done is not None:
            return self._done
        is_proved = req.is_fresh and not self.may_have_run
        if is_proved and not self.open_count:
            return Result(outcome=Outcome.NOT_RUN, reason=self._reason)
        return Result(outcome=Outcome.UNKNOWN, reason=self._reason)
