"""Runs requests on the targets of an agent's VM."""

import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.message import RunAnswer
from radishlanding.observe import EventLog
from radishlanding.request import Outcome
from radishlanding.vm import clock_ms

REQUEST_ID_HEADER = "x-request-id"
OUTCOME_HEADER = "x-outcome"
MAX_SERVICE_S = 120.0
SLOT_HOLD_S = 5.0

_log = EventLog("radishlanding.agent")


class RequestExecutor:
    """Run each attempt at most once, and report its outcome on demand."""

    __slots__ = (
        "_counters",
        "_guard",
        "_incarnation",
        "_nursery",
        "_pool",
        "_registry",
    )

    def __init__(
        self, *, registry, pool, guard, incarnation, counters, nursery
    ):
        """Create an idle executor.

        :param registry: A :class:`radishlanding.request.AttemptRegistry`.
        :param pool: A :class:`radishlanding.target.TargetPool`.
        :param guard: A :class:`StartGuard`.
        :param incarnation: Unique identity of the agent process.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        :param nursery: Nursery that attempts run in, as they outlive the
            connection that requested them.
        """
        self._registry = registry
        self._nursery = nursery
        self._pool = pool
        self._guard = guard
        self._incarnation = incarnation
        self._counters = counters

    async def run(self, req):
        """Run an attempt, or wait for its answer if it is known.

        :param req: A :class:`radishlanding.message.RunRequest`.
        :returns: A :class:`radishlanding.message.RunAnswer`.
        """
        attempt = self._registry.find(req.key, req.attempt)
        if attempt is not None:
            return await self._wait(attempt, req.timeout_ms)
        target, reason = self._admit(req)
        if reason:
            self._counters.add("runs_refused")
            return _answer(req, Outcome.NOT_RUN, reason)
        attempt = self._registry.begin(
            req.key,
            req.attempt,
            is_idempotent=req.idempotent,
            now_ms=clock_ms(),
        )
        self._nursery.start_soon(self._serve, req, target, attempt)
        return await self._wait(attempt, req.timeout_ms)

    async def _serve(self, req, target, attempt):
        """Run an attempt on a target, even if no caller waits any more.

        If the outcome is unknown, the target may still work on the request,
        so that its slot is released later.
        """
        answer = await self._exchange(req, target)
        self._registry.finish(attempt, answer)
        if answer.outcome == Outcome.UNKNOWN:
            await trio.sleep(SLOT_HOLD_S)
        self._pool.release_slot(target)

    def _admit(self, req):
        """Take a slot of a target.

        :returns: A pair of the target and an empty string, or of None and the
            reason for the refusal.
        """
        reason = self._guard.refusal_reason(req, now_ms=clock_ms())
        if not reason and self._pool.is_closed:
            reason = "the agent is stopping"
        if not reason and self._registry.is_full():
            reason = "too many attempts are kept"
        if reason:
            return None, reason
        target = self._pool.acquire_slot(req.service)
        if target is None:
            return None, f"no free slot for {req.service}"
        return target, ""

    async def _exchange(self, req, target):
        started_s = time.monotonic()
        try:
            response = await target.client.send(
                "POST",
                "/v1/run",
                headers=[
                    (REQUEST_ID_HEADER, req.key),
                    ("content-type", "application/json"),
                ],
                body=req.body,
                timeout_s=MAX_SERVICE_S,
                new_connection=not req.idempotent,
            )
        except ExchangeFailed as exc:
            _log.info("exchange_failed", key=req.key, reason=exc.reason)
            outcome = Outcome.UNKNOWN if exc.was_sent else Outcome.NOT_RUN
            return _answer(req, outcome, f"target: {exc.reason}")
        if response.headers.get(REQUEST_ID_HEADER) != req.key:
            self._counters.add("crossed_answers")
            return _answer(
                req, Outcome.UNKNOWN, "the target answered another request"
            )
        if response.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
            return _answer(
                req, Outcome.NOT_RUN, "the target refused the request"
            )
        target.record_latency((time.monotonic() - started_s) * 1000)
        return RunAnswer(
            key=req.key,
            attempt=req.attempt,
            outcome=Outcome.DONE,
            reason="",
            status=response.status,
            body=response.body,
        )

    async def ask(self, req):
        """Return the outcome of an attempt, and forbid an unknown one.

        :param req: A :class:`radishlanding.message.AskRequest`.
        :returns: A :class:`radishlanding.message.RunAnswer`.
        """
        if req.incarnation != self._incarnation:
            return _answer(req, Outcome.UNKNOWN, "the agent was replaced")
        attempt = self._registry.find(req.key, req.attempt)
        if attempt is not None:
            return await self._wait(attempt, req.timeout_ms)
        if not self._registry.is_complete_since(req.claimed_clock_ms):
            return _answer(
                req, Outcome.UNKNOWN, "the attempt is no longer kept"
            )
        attempt = self._registry.begin(
            req.key, req.attempt, is_idempotent=False, now_ms=clock_ms()
        )
        answer = _answer(req, Outcome.NOT_RUN, "forbidden before it arrived")
        self._registry.finish(attempt, answer)
        return answer

    async def _wait(self, attempt, timeout_ms):
        with trio.move_on_after(timeout_ms / 1000):
            return await attempt.wait()
        # Entries match this reason.
        return _answer(attempt, Outcome.UNKNOWN, "still running")


def _answer(attempt, outcome, reason):
    return RunAnswer(
        key=attempt.key,
        attempt=attempt.attempt,
        outcome=outcome,
        reason=reason,
    )
