"""Routes non-idempotent requests."""

import hashlib
import uuid

import trio

from radishlanding.entry.request_router import result_of
from radishlanding.message import AskRequest
from radishlanding.message import ClaimRequest
from radishlanding.message import RelayAsk
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.request import Result

ASK_TIMEOUT_S = 2.5
ASK_SLACK_S = 0.5
RETRY_PAUSE_S = 0.1
QUERY_TIMEOUT_S = 1.0


class ClaimedRouter:
    """Send an attempt only under a recorded claim, and only once.

    An attempt that was sent by somebody and got no answer is asked for: its
    agent answers for it, or forbids it. Only then may the next attempt be
    claimed.
    """

    __slots__ = ("_directory", "_links", "_router")

    def __init__(self, *, directory, links, router):
        """Prepare the router.

        :param directory: The :class:`AgentDirectory`.
        :param links: The :class:`SchedulerLinks`.
        :param router: The :class:`RequestRouter`, for choice and sending.
        """
        self._directory = directory
        self._links = links
        self._router = router

    async def run(self, req):
        """Return the result of a request.

        :param req: A :class:`radishlanding.request.Request`.
        :returns: A :class:`radishlanding.request.Result`.
        """
        forbidden = 0
        unwanted = set()
        is_never_run = req.is_fresh
        reason = f"no target of {req.service} can take it"
        while req.remaining_s() > 0:
            view = self._router.choose(req, without=unwanted)
            if view is None:
                await self._router.wait_for_room(req)
                unwanted.clear()
                continue
            holder = uuid.uuid4().hex
            try:
                claim = await self._claim(req, view, holder, forbidden)
            except ConnectionLost as exc:
                reason = f"no claim: {exc}"
                break
            if claim.digest != _digest(req):
                return Result(
                    outcome=Outcome.UNKNOWN,
                    reason="the key belongs to another request",
                )
            if claim.holder == holder:
                result = await self._send(req, view, claim)
            else:
                result = await self._ask(req, claim)
            if result.outcome != Outcome.NOT_RUN:
                return result
            is_never_run = True
            forbidden = claim.attempt
            reason = result.reason
            unwanted.add(claim.vm)
        if is_never_run or await self._was_never_claimed(req):
            return Result(outcome=Outcome.NOT_RUN, reason=reason)
        return Result(
            outcome=Outcome.UNKNOWN,
            reason=f"{reason}; an earlier try may have run",
        )

    async def _was_never_claimed(self, req):
        """Return whether a confirmed owner knows of no claim."""
        query = ClaimRequest(
            key=req.key,
            holder="",
            forbidden=0,
            vm="",
            incarnation="",
            clock_ms=0,
            digest="",
        )
        try:
            answer = await self._links.call_owner(
                req.key, query, timeout_s=QUERY_TIMEOUT_S
            )
        except ConnectionLost:
            return False
        return answer.attempt == 0

    async def _claim(self, req, view, holder, forbidden):
        claim = ClaimRequest(
            key=req.key,
            holder=holder,
            forbidden=forbidden,
            vm=view.report.vm,
            incarnation=view.report.incarnation,
            clock_ms=view.report.clock_ms,
            digest=_digest(req),
        )
        return await self._links.call_owner(
            req.key, claim, timeout_s=req.remaining_s()
        )

    async def _send(self, req, view, claim):
        """Send a claimed attempt; settle it if no answer comes."""
        try:
            answer = await self._router.send(
                req, view, claim.attempt, timeout_s=req.remaining_s()
            )
        except CallRefused:
            return await self._ask(req, claim)
        except ConnectionLost as exc:
            if not exc.was_sent:
                return Result(outcome=Outcome.NOT_RUN, reason=str(exc))
            return await self._ask(req, claim)
        return result_of(answer)

    async def _ask(self, req, claim):
        """Return what became of a claimed attempt."""
        reason = "still running"
        while req.remaining_s() > 0:
            timeout_s = min(ASK_TIMEOUT_S, req.remaining_s())
            ask = AskRequest(
                key=req.key,
                attempt=claim.attempt,
                incarnation=claim.incarnation,
                claimed_clock_ms=claim.clock_ms,
                timeout_ms=int(timeout_s * 1000),
            )
            try:
                answer = await self._ask_agent(claim.vm, ask, timeout_s)
            except (ConnectionLost, CallRefused) as exc:
                reason = f"no word from {claim.vm}: {exc}"
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if answer.reason != "still running":
                return result_of(answer)
        return Result(outcome=Outcome.UNKNOWN, reason=reason)

    async def _ask_agent(self, vm, ask, timeout_s):
        view = self._directory.find(vm)
        if view is not None:
            try:
                return await view.conn.call(
                    ask, timeout_s=timeout_s + ASK_SLACK_S
                )
            except ConnectionLost:
                await trio.sleep(0)
        return await self._links.call_owner(
            vm,
            RelayAsk(vm=vm, ask=ask),
            timeout_s=timeout_s + 2 * ASK_SLACK_S,
        )


def _digest(req):
    digest = hashlib.sha256(req.service.encode() + b"\0" + req.body)
    return digest.hexdigest()
