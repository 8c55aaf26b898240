"""Routes idempotent requests."""

import trio

from radishlanding.message import RunRequest
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.request import Result

FULL_PAUSE_S = 0.02
ATTEMPT_SHARE = 0.45
MIN_ATTEMPT_S = 0.25


class RequestRouter:
    """Try targets until one answers, within the deadline and a budget."""

    __slots__ = (
        "_budget",
        "_cfg_watch",
        "_counters",
        "_directory",
        "_routing",
    )

    def __init__(self, *, directory, routing, budget, cfg_watch, counters):
        """Prepare the router.

        :param directory: The :class:`AgentDirectory`.
        :param routing: A :class:`radishlanding.policy.Routing`.
        :param budget: A :class:`radishlanding.policy.RetryBudget`.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param counters: Counts of the process.
        """
        self._directory = directory
        self._routing = routing
        self._budget = budget
        self._cfg_watch = cfg_watch
        self._counters = counters

    async def run(self, req):
        """Return the result of a request.

        :param req: A :class:`radishlanding.request.Request`.
        :returns: A :class:`radishlanding.request.Result`.
        """
        self._budget.request()
        attempt = 0
        was_sent = False
        reason = f"no target of {req.service} can take it"
        unwanted = set()
        while req.remaining_s() > 0:
            view = self.choose(req, without=unwanted)
            if view is None:
                await self.wait_for_room(req)
                unwanted.clear()
                continue
            if was_sent and not self._budget.take():
                reason += "; the retry budget is spent"
                break
            attempt += 1
            result = await self._attempt(req, view, attempt)
            if result.outcome == Outcome.DONE:
                return result
            was_sent |= result.outcome == Outcome.UNKNOWN
            reason = result.reason
            unwanted.add(view.report.vm)
        if was_sent or not req.is_fresh:
            return Result(outcome=Outcome.UNKNOWN, reason=reason)
        return Result(outcome=Outcome.NOT_RUN, reason=reason)

    def choose(self, req, *, without=()):
        """Return the agent view for a request, None without any target."""
        targets = self._directory.targets(req, without=without)
        chosen = self._routing.choose(
            [item for item in targets if item.outstanding < item.slots]
        )
        return self._directory.find(chosen.vm) if chosen else None

    async def wait_for_room(self, req):
        """Wait until targets may have changed, or the deadline is over."""
        with trio.move_on_after(min(FULL_PAUSE_S, req.remaining_s())):
            await self._directory.wait_changed()

    async def _attempt(self, req, view, attempt):
        self._counters.add("attempts")
        timeout_s = min(
            req.remaining_s(),
            max(MIN_ATTEMPT_S, req.timeout_s * ATTEMPT_SHARE),
        )
        try:
            answer = await self.send(req, view, attempt, timeout_s=timeout_s)
        except CallRefused as exc:
            return Result(outcome=Outcome.NOT_RUN, reason=exc.reason)
        except ConnectionLost as exc:
            outcome = Outcome.UNKNOWN if exc.was_sent else Outcome.NOT_RUN
            return Result(outcome=outcome, reason=str(exc))
        return result_of(answer)

    async def send(self, req, view, attempt, *, timeout_s):
        """Send one attempt to an agent and return its answer.

        :raises ConnectionLost: No answer came in time.
        :raises CallRefused: The agent refused.
        """
        run = RunRequest(
            key=req.key,
            attempt=attempt,
            service=req.service,
            idempotent=req.is_idempotent,
            incarnation=view.report.incarnation,
            clock_echo_ms=view.report.clock_ms,
            revision=self._cfg_watch.document.revision,
            timeout_ms=int(timeout_s * 1000),
            body=req.body,
        )
        with self._directory.in_flight(view, req.service):
            return await view.conn.call(run, timeout_s=timeout_s)


def result_of(answer):
    """Return the result that an agent's answer stands for."""
    return Result(
        outcome=answer.outcome,
        reason=answer.reason,
        status=answer.status,
        body=answer.body,
    )
