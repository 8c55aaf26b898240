"""Client for the leader, in this process or another."""

import functools

import trio

from radishlanding.message import BacklogAnswer
from radishlanding.message import CancelWorkflow
from radishlanding.message import GetBacklog
from radishlanding.message import GetWorkflow
from radishlanding.message import SubmitWorkflow
from radishlanding.message import WorkflowAnswer
from radishlanding.message.refused import STORE_UNANSWERED
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.policy import OutageBackoff
from radishlanding.policy import SilenceBreaker
from radishlanding.policy import StoreOutage
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import QueueRef
from radishlanding.workflow import WorkflowOutcome

# A leader that exited or resigned is replaced within this time. Other
# failovers take seconds, too long for a caller to wait.
LEADER_TIMEOUT_S = 0.6
# Timeout once no leader has answered for longer than ``LEADER_TIMEOUT_S``. In
# an outage of the store callers wait without a call; refused without a wait,
# 13 of 50 who came in the second after its return missed it, with it none.
OUTAGE_LEADER_TIMEOUT_S = 0.15
POLL_INTERVAL_S = 0.02
# An uncertain outcome is resolved once the store answers again, which takes
# longer than ``POLL_INTERVAL_S``.
UNCERTAIN_RETRY_DELAY_S = 0.1
# Part of the caller's timeout that is reserved for sending the response.
RESPONSE_MARGIN_S = 0.15
# Share of the caller's timeout in which a call that may have taken effect is
# retried; the rest is left to the caller for a retry of its own.
UNCERTAIN_RETRY_SHARE = 0.4
# However long a caller waits, a submission is tried for a fraction of the time
# for which the leader remembers its cancellation.
MAX_CALL_S = 60.0

_log = EventLog("radishlanding.dispatcher")


class LeaderClient:
    """Call the leader, in this process or at another dispatcher.

    Calls are retried until they are answered or time out. That is safe
    because the workflow's identity makes them idempotent.

    While the leader has lost the store, it is asked to record something only
    as :class:`radishlanding.policy.StoreOutage` allows. What it can answer
    without the store it is asked at any time.
    """

    __slots__ = (
        "_breaker",
        "_candidate",
        "_counters",
        "_has_advisor",
        "_outage_backoff",
        "_store_outage",
    )

    def __init__(
        self, *, candidate, counters, has_advisor=False, store_outage=None
    ):
        """Prepare the client.

        :param candidate: A :class:`radishlanding.dispatch.Candidate`.
        :param counters: Counters of the process.
        :param has_advisor: Whether the site has an advisor.
        :param store_outage: A :class:`radishlanding.policy.StoreOutage`, None
            for a new one.
        """
        self._breaker = SilenceBreaker()
        self._has_advisor = has_advisor
        self._candidate = candidate
        self._outage_backoff = OutageBackoff()
        self._counters = counters
        self._store_outage = store_outage or StoreOutage()

    async def submit(self, workflow, queue, *, request_id, timeout_s):
        """Submit a workflow.

        :param workflow: A :class:`radishlanding.workflow.Workflow`.
        :param queue: Its :class:`radishlanding.config.Queue`.
        :param request_id: Identity of the caller's request, for the log.
        :param timeout_s: How long the caller waits, in seconds.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        """
        started_s = boot_clock_s()
        if queue.advisor_timing is None or self._has_advisor:
            message = SubmitWorkflow(workflow=workflow, request_id=request_id)
            answer = await self._call(message, timeout_s=timeout_s)
        else:
            # Without an advisor none of its tasks can start.
            answer = WorkflowAnswer(
                outcome=WorkflowOutcome.REFUSED,
                reason="the queue requires an advisor",
            )
        self._counters.record_duration(
            f"submission_{answer.outcome}",
            since_s=started_s,
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

    async def cancel(self, workflow_id, queue, *, request_id, timeout_s):
        """Cancel a workflow.

        :param workflow_id: Identity of the workflow.
        :param queue: Its :class:`radishlanding.config.Queue`.
        :param request_id: Identity of the caller's request, for the log.
        :param timeout_s: How long the caller waits, in seconds.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        """
        message = CancelWorkflow(
            workflow_id=workflow_id,
            request_id=request_id,
            queue=_queue_ref(queue),
        )
        return await self._call(message, timeout_s=timeout_s)

    async def find(self, workflow_id, queue, *, timeout_s):
        """Look up the recorded phase of a workflow.

        :param workflow_id: Identity of the workflow.
        :param queue: Its :class:`radishlanding.config.Queue`.
        :param timeout_s: How long the caller waits, in seconds.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        """
        message = GetWorkflow(workflow_id=workflow_id, queue=_queue_ref(queue))
        return await self._call(message, timeout_s=timeout_s)

    async def backlog(self, queue, *, timeout_s):
        """Return how many workflows of a queue have not started.

        :param queue: The :class:`radishlanding.config.Queue`.
        :param timeout_s: How long the caller waits, in seconds.
        :returns: The number, or None if the leader does not answer.
        """
        message = GetBacklog(queue=queue.name, base_url=queue.base_url)
        answer = await self._call(message, timeout_s=timeout_s)
        return getattr(answer, "waiting", None)

    async def _call(self, message, *, timeout_s):
        """Call the leader; retry until it answers or no leader appears."""
        timeout_s = min(timeout_s, MAX_CALL_S)
        started_s = boot_clock_s()
        deadline_s = started_s + max(0.05, timeout_s - RESPONSE_MARGIN_S)
        uncertain_deadline_s = min(
            deadline_s, started_s + UNCERTAIN_RETRY_SHARE * timeout_s
        )
        leader_deadline_s = min(
            deadline_s, started_s + self._leader_timeout_s(started_s)
        )
        was_sent = was_asked = False
        reason = "no leader is known, or it does not answer"
        while await self._wait_leader(
            max(uncertain_deadline_s, leader_deadline_s)
            if was_sent
            else leader_deadline_s,
            is_held=functools.partial(
                self._is_held, message, was_asked=was_asked
            ),
        ):
            try:
                answer = await self._call_once(message, deadline_s)
                if not _is_uncertain(answer):
                    if _needs_store(message) or not self._is_store_away():
                        self._outage_backoff.record_success()
                    return answer
                was_sent = True
                reason = answer.reason
            except ConnectionLost as exc:
                was_sent = was_sent or exc.was_sent
                reason = str(exc)
            except CallRefused as exc:
                reason = exc.reason
            was_asked = True
            self._outage_backoff.record_failure(boot_clock_s())
            _log.info(
                "leader_unanswered",
                question=type(message).__name__,
                reason=reason,
            )
            await trio.sleep(
                UNCERTAIN_RETRY_DELAY_S if was_sent else POLL_INTERVAL_S
            )
        self._outage_backoff.record_failure(started_s)
        if not was_sent and self._is_held(message, was_asked=was_asked):
            self._counters.add("store_outage_refusals")
        return self._failure_answer(reason, was_sent=was_sent)

    def _leader_timeout_s(self, now_s):
        """Return how long to wait for a leader, in seconds."""
        if self._outage_backoff.outage_s(now_s) > LEADER_TIMEOUT_S:
            return OUTAGE_LEADER_TIMEOUT_S
        return LEADER_TIMEOUT_S

    def _failure_answer(self, reason, *, was_sent):
        return WorkflowAnswer(
            outcome=(
                WorkflowOutcome.UNCERTAIN
                if was_sent
                else WorkflowOutcome.REFUSED
            ),
            retry_after_s=self._outage_backoff.retry_after_s(boot_clock_s()),
            reason=reason,
        )

    async def _wait_leader(self, deadline_s, *, is_held):
        """Wait for a leader that can be called; return whether one exists.

        :param deadline_s: When to give up, on the boot clock, in seconds.
        :param is_held: Callable that returns whether the call has to wait
            until the store is back.
        """
        while (now_s := boot_clock_s()) < deadline_s:
            leader = self._candidate.leader
            conn = self._candidate.leader_conn
            if not is_held():
                if leader is not None:
                    return True
                if conn is not None and not self._breaker.is_open(conn, now_s):
                    return True
            await trio.sleep(POLL_INTERVAL_S)
        return False

    def _is_store_away(self):
        """Return whether the leader is known to have lost the store."""
        leader = self._candidate.leader
        if leader is not None:
            return leader.is_store_unreachable
        return self._store_outage.has_refused(self._candidate.leader_conn)

    def _is_held(self, message, *, was_asked):
        """Return whether a call has to wait until the store is back.

        Only the leader knows whether an earlier request, perhaps at another
        dispatcher, may have taken effect. So each request is sent to it once,
        and is not sent again as long as a refusal holds. Reads are not held.
        """
        if not was_asked or not _needs_store(message):
            return False
        leader = self._candidate.leader
        if leader is not None:
            return leader.is_store_unreachable
        return self._store_outage.is_held(
            self._candidate.leader_conn, boot_clock_s()
        )

    async def _call_once(self, message, deadline_s):
        leader = self._candidate.leader
        if leader is not None:
            return await handle_locally(leader, message)
        timeout_s = max(0.01, deadline_s - boot_clock_s())
        return await self._call_remotely(message, timeout_s)

    async def _call_remotely(self, message, timeout_s):
        conn = self._candidate.leader_conn
        is_probe = _needs_store(message) and self._store_outage.begin_call(
            conn, boot_clock_s()
        )
        self._counters.add("store_outage_probes", is_probe)
        self._breaker.record_call(conn, boot_clock_s())
        try:
            answer = await conn.call(message, timeout_s=timeout_s)
        except CallRefused as exc:
            self._breaker.record_answer(conn, boot_clock_s())
            self._record_outcome(conn, message, reason=exc.reason)
            raise
        except (ConnectionLost, trio.Cancelled):
            self._breaker.record_timeout(conn)
            raise
        finally:
            if is_probe:
                self._store_outage.end_probe(conn)
        self._breaker.record_answer(conn, boot_clock_s())
        if not _is_uncertain(answer):
            self._record_outcome(
                conn, message, reason=getattr(answer, "reason", "")
            )
        return answer

    def _record_outcome(self, conn, message, *, reason):
        """Record whether the leader could record something.

        :param reason: Why it refused, empty if it did not.
        """
        if not _needs_store(message):
            return
        outage, now_s = self._store_outage, boot_clock_s()
        if reason == STORE_UNANSWERED:
            if outage.record_refusal(conn, now_s):
                _log.warning("store_outage_begun")
        elif outage.record_answer(conn):
            _log.info(
                "store_outage_over",
                took_s=f"{now_s - outage.since_s:.3f}",
                refused=outage.refused,
            )


def _queue_ref(queue):
    """Return the reference to a :class:`radishlanding.config.Queue`."""
    return QueueRef(name=queue.name, base_url=queue.base_url)


def _needs_store(message):
    """Return whether a leader has to record something for a message."""
    return isinstance(message, SubmitWorkflow | CancelWorkflow)


def _is_uncertain(answer):
    return (
        isinstance(answer, WorkflowAnswer)
        and answer.outcome == WorkflowOutcome.UNCERTAIN
    )


async def handle_locally(leader, message):
    """Let a leader in this process handle a message about workflows.

    :param leader: A :class:`radishlanding.dispatch.Leader`.
    :param message: A message about workflows.
    :returns: The answer.
    :raises radishlanding.peer.CallRefused: It is another message, or the
        leader refuses it.
    """
    match message:
        case SubmitWorkflow():
            return await leader.submit(
                message.workflow, request_id=message.request_id
            )
        case CancelWorkflow():
            return await leader.cancel(
                message.workflow_id,
                message.queue,
                request_id=message.request_id,
            )
        case GetWorkflow():
            return await leader.find(message.workflow_id, message.queue)
        case GetBacklog():
            queue = QueueRef(name=message.queue, base_url=message.base_url)
            return BacklogAnswer(waiting=leader.backlog(queue))
    raise CallRefused(f"unexpected {type(message).__name__}")
