"""Routes idempotent requests."""

import trio

from radishlanding.entry.attempts import Attempts
from radishlanding.message import RunRequest
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.request import Result

FULL_PAUSE_S = 0.02
PATIENCE_SHARE = 0.45
MIN_PATIENCE_S = 0.25
RECONNECT_S = 1.0
MAX_SENDS = 3


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

        An attempt that takes long goes on while another is made.

        :param req: A :class:`radishlanding.request.Request`.
        :returns: A :class:`radishlanding.request.Result`.
        """
        self._budget.deposit()
        attempts = Attempts()
        async with trio.open_nursery() as nursery:
            while req.remaining_s() > 0 and not attempts.is_done:
                view = self._next_view(req, attempts)
                if view is not None:
                    number = attempts.begin(view.report.vm)
                    nursery.start_soon(
                        self._attempt, req, view, number, attempts
                    )
                    await attempts.wait(self._patience_s(req))
                elif attempts.open_count:
                    await attempts.wait(req.remaining_s())
                elif attempts.is_refused_retry:
                    break
                else:
                    await self.wait_for_room(req)
                    attempts.unwanted.clear()
            nursery.cancel_scope.cancel()
        return attempts.result(req)

    def _next_view(self, req, attempts):
        """Return the agent to try now, or None."""
        if attempts.may_have_run and attempts.is_refused_retry:
            return None
        view = self.choose(req, without=attempts.unwanted)
        if view is None or not attempts.may_have_run:
            return view
        if self._budget.try_withdraw():
            return view
        attempts.is_refused_retry = True
        return None

    def _patience_s(self, req):
        return min(
            req.remaining_s(),
            max(MIN_PATIENCE_S, req.timeout_s * PATIENCE_SHARE),
        )

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

    async def _attempt(self, req, view, number, attempts):
        """Make one attempt and note its result."""
        self._counters.add("attempts")
        for _ in range(MAX_SENDS):
            try:
                answer = await self.send(
                    req, view, number, timeout_s=req.remaining_s()
                )
            except CallRefused as exc:
                attempts.end(Outcome.NOT_RUN, exc.reason)
                return
            except ConnectionLost as exc:
                if not exc.was_sent:
                    attempts.end(Outcome.NOT_RUN, str(exc))
                    return
                reason = str(exc)
            else:
                attempts.take(result_of(answer))
                return
            # The agent answers for the attempt on a new connection.
            view = await self._connected_again(req, view)
            if view is None:
                break
        attempts.end(Outcome.UNKNOWN, reason)

    async def _connected_again(self, req, view):
        """Return the same agent on a new connection, or None in time."""
        with trio.move_on_after(min(RECONNECT_S, req.remaining_s())):
            while True:
                found = self._directory.find(view.report.vm)
                if found is not None and found.conn is not view.conn:
                    same = found.report.incarnation == view.report.incarnation
                    return found if same else None
                await self._directory.wait_changed()
        return None

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
