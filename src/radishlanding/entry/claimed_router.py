"""Routing of non-idempotent requests."""

import hashlib
import uuid

import trio

from radishlanding.entry.request_router import to_result
from radishlanding.message import AskRequest
from radishlanding.message import ClaimRequest
from radishlanding.message import RelayAsk
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.request import Result

ATTEMPT_QUERY_TIMEOUT_S = 2.5
QUERY_MARGIN_S = 0.5
RETRY_DELAY_S = 0.1
CLAIM_QUERY_TIMEOUT_S = 1.0


class ClaimedRouter:
    """Send each attempt at most once, under a claim that a scheduler records.

    If the answer to a claimed attempt is missing, its agent is queried: it
    returns the answer, or forbids the attempt if it has not seen it. Only
    after an attempt is known not to have run may the next one be claimed.
    """

    __slots__ = ("_directory", "_links", "_router")

    def __init__(self, *, directory, links, router):
        """Prepare the router.

        :param directory: The :class:`AgentDirectory`.
        :param links: The :class:`SchedulerLinks`.
        :param router: The :class:`RequestRouter`, which chooses targets and
            sends attempts.
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
        excluded_vms = set()
        is_proven_not_run = req.has_generated_key
        reason = f"no target of {req.service} has free capacity"
        while req.remaining_s() > 0:
            view = self._router.choose(req, excluding=excluded_vms)
            if view is None:
                await self._router.wait_for_capacity(req)
                excluded_vms.clear()
                continue
            holder = uuid.uuid4().hex
            try:
                claim = await self._claim(req, view, holder, forbidden)
            except ConnectionLost as exc:
                reason = f"claim failed: {exc}"
                break
            if claim.digest != _digest(req):
                return Result(
                    outcome=Outcome.UNKNOWN,
                    reason="the key belongs to another request",
                )
            if claim.holder == holder:
                result = await self._send(req, view, claim)
            else:
                result = await self._query_attempt(req, claim)
            if result.outcome != Outcome.NOT_RUN:
                return result
            is_proven_not_run = True
            forbidden = claim.attempt
            reason = result.reason
            excluded_vms.add(claim.vm)
        if is_proven_not_run or await self._has_no_claim(req):
            return Result(outcome=Outcome.NOT_RUN, reason=reason)
        return Result(
            outcome=Outcome.UNKNOWN,
            reason=f"{reason}; an earlier attempt may have run",
        )

    async def _has_no_claim(self, req):
        """Return whether the shard's owner confirms that there is no claim.

        A claim request without a VM only reads.
        """
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
                req.key, query, timeout_s=CLAIM_QUERY_TIMEOUT_S
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
        """Send a claimed attempt; query its outcome if no answer arrives."""
        try:
            answer = await self._router.send(
                req, view, claim.attempt, timeout_s=req.remaining_s()
            )
        except CallRefused:
            return await self._query_attempt(req, claim)
        except ConnectionLost as exc:
            if not exc.was_sent:
                return Result(outcome=Outcome.NOT_RUN, reason=str(exc))
            return await self._query_attempt(req, claim)
        return to_result(answer)

    async def _query_attempt(self, req, claim):
        """Query the outcome of a claimed attempt until the deadline."""
        reason = "still running"
        while req.remaining_s() > 0:
            timeout_s = min(ATTEMPT_QUERY_TIMEOUT_S, req.remaining_s())
            query = AskRequest(
                key=req.key,
                attempt=claim.attempt,
                incarnation=claim.incarnation,
                claimed_clock_ms=claim.clock_ms,
                timeout_ms=int(timeout_s * 1000),
            )
            try:
                answer = await self._query_agent(claim.vm, query, timeout_s)
            except (ConnectionLost, CallRefused) as exc:
                reason = f"no answer from {claim.vm}: {exc}"
                await trio.sleep(RETRY_DELAY_S)
                continue
            if answer.reason != "still running":
                return to_result(answer)
        return Result(outcome=Outcome.UNKNOWN, reason=reason)

    async def _query_agent(self, vm, query, timeout_s):
        """Query an agent directly, or through the owner of its shard."""
        view = self._directory.find(vm)
        if view is not None:
            try:
                return await view.conn.call(
                    query, timeout_s=timeout_s + QUERY_MARGIN_S
                )
            except ConnectionLost:
                await trio.sleep(0)
        return await self._links.call_owner(
            vm,
            RelayAsk(vm=vm, ask=query),
            timeout_s=timeout_s + 2 * QUERY_MARGIN_S,
        )


def _digest(req):
    digest = hashlib.sha256(req.service.encode() + b"\0" + req.body)
    return digest.hexdigest()
