"""Passes callers' questions to the leader."""

import trio

from radishlanding.message import BacklogAnswer
from radishlanding.message import CancelWorkflow
from radishlanding.message import GetBacklog
from radishlanding.message import GetWorkflow
from radishlanding.message import SubmitWorkflow
from radishlanding.message import WorkflowAnswer
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.policy import OutageBackoff
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import WorkflowOutcome

# A leader that ended or resigned is replaced within this time; longer ones
# are known to take seconds, which callers should not wait for.
LEADER_WAIT_S = 0.6
# The same where nobody has answered for longer than that already.
KNOWN_OUTAGE_WAIT_S = 0.15
POLL_PAUSE_S = 0.02
# Doubt ends when the store answers again, which takes longer than a poll.
DOUBT_PAUSE_S = 0.1
# The caller's own time for the answer to travel.
ANSWER_SLACK_S = 0.15
# Part of a caller's time in which a question that may have taken effect is
# asked again; the rest is left to the caller for another try.
DOUBT_SHARE = 0.4

_log = EventLog("radishlanding.dispatcher")


class LeaderClient:
    """Ask the leader, here or at another process.

    A question about one workflow may be asked again without harm, as its
    identity makes it one.
    """

    __slots__ = ("_candidate", "_comeback", "_counters", "_has_advisor")

    def __init__(self, *, candidate, counters, has_advisor=False):
        """Prepare.

        :param candidate: A :class:`radishlanding.dispatch.Candidate`.
        :param counters: Counts of the process.
        :param has_advisor: Whether the site has an advisor.
        """
        self._has_advisor = has_advisor
        self._candidate = candidate
        self._comeback = OutageBackoff()
        self._counters = counters

    async def submit(self, workflow, queue, *, request_id, timeout_s):
        """Record a workflow; return a :class:`WorkflowAnswer`.

        :param workflow: A :class:`radishlanding.workflow.Workflow`.
        :param queue: Its :class:`radishlanding.config.Queue`.
        :param request_id: Id of the caller's request.
        :param timeout_s: How long the caller waits, in seconds.
        """
        began_s = boot_clock_s()
        if queue.advice is None or self._has_advisor:
            message = SubmitWorkflow(workflow=workflow, request_id=request_id)
            answer = await self._ask(message, timeout_s=timeout_s)
        else:
            # Without an advisor none of its tasks could ever start.
            answer = WorkflowAnswer(
                outcome=WorkflowOutcome.REFUSED,
                reason="the queue wants advice",
            )
        self._counters.time(
            f"submission_{answer.outcome}",
            since_s=began_s,
            now_s=boot_clock_s(),
        )
        self._counters.add(f"submissions_{answer.outcome}")
        if answer.outcome != WorkflowOutcome.FOUND:
            _log.warning(
                "submission_failed",
                workflow=workflow.workflow_id,
                request=request_id,
                queue=workflow.queue,
                outcome=answer.outcome,
                reason=answer.reason,
            )
        return answer

    async def cancel(self, workflow_id, *, request_id, timeout_s):
        """Cancel a workflow; return a :class:`WorkflowAnswer`."""
        message = CancelWorkflow(
            workflow_id=workflow_id, request_id=request_id
        )
        return await self._ask(message, timeout_s=timeout_s)

    async def find(self, workflow_id, *, timeout_s):
        """Return a :class:`WorkflowAnswer` with the phase on record."""
        message = GetWorkflow(workflow_id=workflow_id)
        return await self._ask(message, timeout_s=timeout_s)

    async def backlog(self, queue, *, timeout_s):
        """Return how many workflows have not begun, None if unknown."""
        answer = await self._ask(GetBacklog(queue=queue), timeout_s=timeout_s)
        return getattr(answer, "waiting", None)

    async def _ask(self, message, *, timeout_s):
        """Ask until there is an answer, or nobody who could give one soon."""
        began_s = boot_clock_s()
        end_s = began_s + max(0.05, timeout_s - ANSWER_SLACK_S)
        doubt_end_s = min(end_s, began_s + DOUBT_SHARE * timeout_s)
        patience_s = min(end_s, began_s + self._patience_s(began_s))
        was_sent = False
        reason = "no leader is known"
        while await self._wait_leader(
            max(doubt_end_s, patience_s) if was_sent else patience_s
        ):
            try:
                answer = await self._ask_once(message, end_s)
                if not _is_uncertain(answer):
                    self._comeback.record_success()
                    return answer
                was_sent = True
                reason = answer.reason
            except ConnectionLost as exc:
                was_sent = was_sent or exc.was_sent
                reason = str(exc)
            except CallRefused as exc:
                reason = exc.reason
            self._comeback.record_failure(boot_clock_s())
            _log.info(
                "leader_unanswered",
                question=type(message).__name__,
                reason=reason,
            )
            await trio.sleep(DOUBT_PAUSE_S if was_sent else POLL_PAUSE_S)
        self._comeback.record_failure(began_s)
        return self._give_up(reason, was_sent=was_sent)

    def _patience_s(self, now_s):
        """Return how long to wait for somebody who can be asked."""
        if self._comeback.outage_s(now_s) > LEADER_WAIT_S:
            return KNOWN_OUTAGE_WAIT_S
        return LEADER_WAIT_S

    def _give_up(self, reason, *, was_sent):
        return WorkflowAnswer(
            outcome=(
                WorkflowOutcome.UNCERTAIN
                if was_sent
                else WorkflowOutcome.REFUSED
            ),
            retry_after_s=self._comeback.retry_after_s(boot_clock_s()),
            reason=reason,
        )

    async def _wait_leader(self, end_s):
        """Return whether somebody can be asked within the time."""
        while boot_clock_s() < end_s:
            leader = self._candidate.leader
            if leader is not None and not leader.is_store_unreachable:
                return True
            if leader is None and self._candidate.leader_conn is not None:
                return True
            await trio.sleep(POLL_PAUSE_S)
        return False

    async def _ask_once(self, message, end_s):
        leader = self._candidate.leader
        if leader is not None:
            return await ask_leader(leader, message)
        timeout_s = max(0.01, end_s - boot_clock_s())
        return await self._candidate.leader_conn.call(
            message, timeout_s=timeout_s
        )


def _is_uncertain(answer):
    return (
        isinstance(answer, WorkflowAnswer)
        and answer.outcome == WorkflowOutcome.UNCERTAIN
    )


async def ask_leader(leader, message):
    """Return the answer of a leader in this process.

    :param leader: A :class:`radishlanding.dispatch.Leader`.
    :param message: A question about workflows.
    :raises CallRefused: It is no such question.
    """
    match message:
        case SubmitWorkflow():
            return await leader.submit(
                message.workflow, request_id=message.request_id
            )
        case CancelWorkflow():
            return await leader.cancel(
                message.workflow_id, request_id=message.request_id
            )
        case GetWorkflow():
            return await leader.find(message.workflow_id)
        case GetBacklog():
            return BacklogAnswer(waiting=leader.backlog(message.queue))
    raise CallRefused(f"unexpected {type(message).__name__}")
