"""Runs requests on the targets beside an agent."""

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
HOLD_SLOT_S = 5.0

_log = EventLog("radishlanding.agent")


class RequestExecutor:
    """Run each attempt at most once, and answer for it afterwards."""

    __slots__ = (
        "_book",
        "_counters",
        "_guard",
        "_incarnation",
        "_nursery",
        "_pool",
    )

    def __init__(self, *, book, pool, guard, incarnation, counters, nursery):
        """Prepare the desk.

        :param book: A :class:`radishlanding.request.AttemptRegistry`.
        :param pool: A :class:`radishlanding.target.TargetPool`.
        :param guard: A :class:`StartGuard`.
        :param incarnation: Unique identity of the agent process.
        :param counters: Counts of the process.
        :param nursery: Nursery for attempts, which outlive the connection
            that they came on.
        """
        self._book = book
        self._nursery = nursery
        self._pool = pool
        self._guard = guard
        self._incarnation = incarnation
        self._counters = counters

    async def run(self, run):
        """Run an attempt, or answer for it if it is known.

        :param run: A :class:`radishlanding.message.RunRequest`.
        :returns: A :class:`radishlanding.message.RunAnswer`.
        """
        entry = self._book.find(run.key, run.attempt)
        if entry is not None:
            return await self._wait(entry, run.timeout_ms)
        target, problem = self._admit(run)
        if problem:
            self._counters.add("runs_refused")
            return _answer(run, Outcome.NOT_RUN, problem)
        entry = self._book.begin(
            run.key,
            run.attempt,
            is_idempotent=run.idempotent,
            now_ms=clock_ms(),
        )
        self._nursery.start_soon(self._serve, run, target, entry)
        return await self._wait(entry, run.timeout_ms)

    async def _serve(self, run, target, entry):
        """Let a target serve an attempt, whoever still waits for it.

        After a failure the target may still be at work, so that its slot
        is held for a while.
        """
        answer = await self._exchange(run, target)
        self._book.finish(entry, answer)
        if answer.outcome == Outcome.UNKNOWN:
            await trio.sleep(HOLD_SLOT_S)
        self._pool.release_slot(target)

    def _admit(self, run):
        """Return a target with a slot taken, or None and why not."""
        problem = self._guard.problem(run, now_ms=clock_ms())
        if not problem and self._pool.is_closed:
            problem = "the agent is stopping"
        if not problem and self._book.is_full():
            problem = "too many requests are remembered"
        if problem:
            return None, problem
        target = self._pool.acquire_slot(run.service)
        if target is None:
            return None, f"no free slot for {run.service}"
        return target, ""

    async def _exchange(self, run, target):
        began_s = time.monotonic()
        try:
            response = await target.client.send(
                "POST",
                "/v1/run",
                headers=[
                    (REQUEST_ID_HEADER, run.key),
                    ("content-type", "application/json"),
                ],
                body=run.body,
                timeout_s=MAX_SERVICE_S,
                fresh=not run.idempotent,
            )
        except ExchangeFailed as exc:
            _log.info("exchange_failed", key=run.key, reason=exc.reason)
            outcome = Outcome.UNKNOWN if exc.was_sent else Outcome.NOT_RUN
            return _answer(run, outcome, f"target: {exc.reason}")
        if response.headers.get(REQUEST_ID_HEADER) != run.key:
            self._counters.add("crossed_answers")
            return _answer(run, Outcome.UNKNOWN, "target answered another")
        if response.headers.get(OUTCOME_HEADER) == Outcome.NOT_RUN:
            return _answer(run, Outcome.NOT_RUN, "the target refused")
        target.record_latency((time.monotonic() - began_s) * 1000)
        return RunAnswer(
            key=run.key,
            attempt=run.attempt,
            outcome=Outcome.DONE,
            reason="",
            status=response.status,
            body=response.body,
        )

    async def ask(self, ask):
        """Answer for an attempt, and forbid it if it was never seen.

        :param ask: A :class:`radishlanding.message.AskRequest`.
        :returns: A :class:`radishlanding.message.RunAnswer`.
        """
        if ask.incarnation != self._incarnation:
            return _answer(ask, Outcome.UNKNOWN, "the agent was replaced")
        entry = self._book.find(ask.key, ask.attempt)
        if entry is not None:
            return await self._wait(entry, ask.timeout_ms)
        if not self._book.is_complete_since(ask.claimed_clock_ms):
            return _answer(ask, Outcome.UNKNOWN, "no longer remembered")
        entry = self._book.begin(
            ask.key, ask.attempt, is_idempotent=False, now_ms=clock_ms()
        )
        answer = _answer(ask, Outcome.NOT_RUN, "forbidden before it came")
        self._book.finish(entry, answer)
        return answer

    async def _wait(self, entry, timeout_ms):
        with trio.move_on_after(timeout_ms / 1000):
            return await entry.wait()
        return _answer(entry, Outcome.UNKNOWN, "still running")


def _answer(attempt, outcome, reason):
    return RunAnswer(
        key=attempt.key,
        attempt=attempt.attempt,
        outcome=outcome,
        reason=reason,
    )
