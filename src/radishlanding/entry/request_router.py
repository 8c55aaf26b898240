"""Routing of idempotent requests."""

import trio

from radishlanding.entry.attempts import Attempts
from radishlanding.message import RunRequest
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.peer import RECONNECT_TIMEOUT_S
from radishlanding.request import Outcome
from radishlanding.request import Result

# Longest wait for a change while all targets are full.
CAPACITY_POLL_INTERVAL_S = 0.02
# Share of a request's timeout after which a slow attempt is hedged.
HEDGE_DELAY_SHARE = 0.45
MIN_HEDGE_DELAY_S = 0.25
MAX_SENDS_PER_ATTEMPT = 3


class RequestRouter:
    """Try targets until one answers, within deadline and retry budget."""

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
        :param counters: Counters of the process.
        """
        self._directory = directory
        self._routing = routing
        self._budget = budget
        self._cfg_watch = cfg_watch
        self._counters = counters

    async def run(self, req):
        """Return the result of a request.

        Attempts are hedged: a slow attempt keeps running while another one
        is made.

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
                    await attempts.wait(self._hedge_delay_s(req))
                elif attempts.pending_count:
                    await attempts.wait(req.remaining_s())
                elif attempts.is_retry_denied:
                    break
                else:
                    await self.wait_for_capacity(req)
                    attempts.excluded_vms.clear()
            nursery.cancel_scope.cancel()
        return attempts.result(req)

    def _next_view(self, req, attempts):
        """Return the agent for the next attempt, or None.

        Once an attempt may have run, each further one is a retry that the
        budget has to allow.
        """
        if attempts.may_have_run and attempts.is_retry_denied:
            return None
        view = self.choose(req, excluding=attempts.excluded_vms)
        if view is None or not attempts.may_have_run:
            return view
        if self._budget.try_withdraw():
            return view
        attempts.is_retry_denied = True
        return None

    def _hedge_delay_s(self, req):
        return min(
            req.remaining_s(),
            max(MIN_HEDGE_DELAY_S, req.timeout_s * HEDGE_DELAY_SHARE),
        )

    def choose(self, req, *, excluding=()):
        """Return the agent for a request, or None if no target has capacity.

        :param req: A :class:`radishlanding.request.Request`.
        :param excluding: VMs to leave out.
        :returns: An :class:`AgentView`, or None.
        """
        targets = self._directory.targets(req, excluding=excluding)
        chosen = self._routing.choose(
            [item for item in targets if item.outstanding < item.slots]
        )
        return self._directory.find(chosen.vm) if chosen else None

    async def wait_for_capacity(self, req):
        """Wait until targets may have capacity or the deadline expires."""
        with trio.move_on_after(
            min(CAPACITY_POLL_INTERVAL_S, req.remaining_s())
        ):
            await self._directory.wait_changed()

    async def _attempt(self, req, view, number, attempts):
        """Make one attempt and record its result."""
        self._counters.add("attempts")
        for _ in range(MAX_SENDS_PER_ATTEMPT):
            try:
                answer = await self.send(
                    req, view, number, timeout_s=req.remaining_s()
                )
            except CallRefused as exc:
                attempts.record_end(Outcome.NOT_RUN, exc.reason)
                return
            except ConnectionLost as exc:
                if not exc.was_sent:
                    attempts.record_end(Outcome.NOT_RUN, str(exc))
                    return
                reason = str(exc)
            else:
                attempts.record_result(to_result(answer))
                return
            # The agent keeps the answer and returns it on a new connection.
            view = await self._wait_reconnected(req, view)
            if view is None:
                break
        attempts.record_end(Outcome.UNKNOWN, reason)

    async def _wait_reconnected(self, req, view):
        """Wait for the same agent process on a new connection.

        :returns: Its :class:`AgentView`, or None if another process reports
            for the VM or ``RECONNECT_TIMEOUT_S`` expires.
        """
        with trio.move_on_after(min(RECONNECT_TIMEOUT_S, req.remaining_s())):
            while True:
                current = self._directory.find(view.report.vm)
                if current is not None and current.conn is not view.conn:
                    is_same_process = (
                        current.report.incarnation == view.report.incarnation
                    )
                    return current if is_same_process else None
                await self._directory.wait_changed()
        return None

    async def send(self, req, view, attempt, *, timeout_s):
        """Send an attempt to an agent and return its answer.

        :param req: A :class:`radishlanding.request.Request`.
        :param view: The :class:`AgentView` of the agent.
        :param attempt: Number of the attempt.
        :param timeout_s: Timeout, in seconds.
        :returns: A :class:`radishlanding.message.RunAnswer`.
        :raises radishlanding.peer.ConnectionLost: No answer arrived in time.
        :raises radishlanding.peer.CallRefused: The agent refused.
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


def to_result(answer):
    """Convert an agent's answer to a result."""
    return Result(
        outcome=answer.outcome,
        reason=answer.reason,
        status=answer.status,
        body=answer.body,
    )
