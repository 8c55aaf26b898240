"""Polls a worker."""

import dataclasses

import trio

from radishlanding.observe import EventLog
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.poll_failure_log import PollFailureLog
from radishlanding.vmagent.poll_recovery import PollRecovery
from radishlanding.vmagent.poll_result import PollResult
from radishlanding.vmagent.report_filter import NO_REPORT
from radishlanding.vmagent.silence_monitor import SilenceMonitor
from radishlanding.worker import WorkerReplaced
from radishlanding.worker import WorkerUnavailable

# Longest wait of a poll, and thus the interval at which holds are extended.
POLL_WAIT_S = 0.5
# A worker that answers a poll does so within milliseconds of its wait.
POLL_TIMEOUT_S = 0.4
# A worker that answers late is given more time, so that it is not taken for
# one that loses polls.
MAX_POLL_TIMEOUT_S = 1.0
LATENCY_FACTOR = 3
# Between polls while ends are not settled or the outcome of an attempt is
# uncertain, as the worker then answers at once.
SETTLE_WAIT_S = 0.05
RETRY_DELAY_S = 0.1

_log = EventLog("radishlanding.vmagent")


class WorkerPoller:
    """Poll a worker over one connection, or several after a lost poll.

    A poll extends the worker's deadline and lists its attempts.
    """

    __slots__ = (
        "_failure_log",
        "_latency_s",
        "_listed_sent_s",
        "_recovery",
        "_silence",
        "_supervisor",
    )

    def __init__(self, *, supervisor):
        """Create a poller that has not polled.

        :param supervisor: The :class:`WorkerSupervisor`.
        """
        self._failure_log = PollFailureLog()
        # Of the last answer, beyond the wait that the poll asked for.
        self._latency_s = 0.0
        # When the newest applied list was requested.
        self._listed_sent_s = 0.0
        self._recovery = PollRecovery(poller=self, supervisor=supervisor)
        self._silence = SilenceMonitor(now_s=boot_clock_s())
        self._supervisor = supervisor

    @property
    def is_responsive(self):
        """Return whether the worker has answered the last poll."""
        return self._silence.is_responsive

    @property
    def is_silent(self):
        """Return whether the worker has answered nothing for a while."""
        return self._silence.is_silent

    async def run(self):
        """Poll the worker until cancelled."""
        while True:
            await self._run_once()

    async def _run_once(self):
        supervisor = self._supervisor
        if not supervisor.fence or supervisor.has_left:
            await self._wait_changed(POLL_WAIT_S)
        elif not self.is_responsive:
            await self._recovery.run()
        else:
            await self._poll_once()

    async def _poll_once(self):
        supervisor, table = self._supervisor, self._supervisor.table
        result = await self.poll(supervisor.worker, may_wait=True)
        if result is PollResult.REFUSED:
            await trio.sleep(RETRY_DELAY_S)
        elif result is not PollResult.ANSWERED:
            return
        elif supervisor.remaining_s() <= 0:
            await self._wait_changed(RETRY_DELAY_S)
        elif table.ended() or table.has_uncertain():
            await self._wait_changed(SETTLE_WAIT_S)

    async def _wait_changed(self, timeout_s):
        with trio.move_on_after(timeout_s):
            await self._supervisor.table.wait_changed()

    async def poll(
        self, conn, *, may_wait=False, extends=True, timeout_s=POLL_TIMEOUT_S
    ):
        """Extend the worker's deadline, and apply its list.

        The deadline of a worker that did not answer the last poll is not
        extended, so that the agent knows when the last one has passed.

        :param conn: The :class:`radishlanding.worker.ListConnection` or
            worker to ask.
        :param may_wait: Whether the worker may wait for an end.
        :param extends: Whether to extend the deadline.
        :param timeout_s: How long to wait for the answer, in seconds; longer
            for a worker that answers late.
        :returns: A :class:`PollResult`.
        """
        supervisor, table = self._supervisor, self._supervisor.table
        fence, report = supervisor.fence, supervisor.report
        remaining_s, deadline_ms = 0.0, None
        if extends and self.is_responsive and supervisor.clock.is_known:
            remaining_s = supervisor.remaining_s()
        if remaining_s > 0:
            deadline_ms = supervisor.clock.deadline_ms(remaining_s)
        can_wait = (
            may_wait
            and supervisor.has_synced
            and deadline_ms is not None
            and not table.ended()
            and not table.has_uncertain()
        )
        wait_s = POLL_WAIT_S if can_wait else 0.0
        late_s = min(MAX_POLL_TIMEOUT_S, LATENCY_FACTOR * self._latency_s)
        sent_s = boot_clock_s()
        try:
            listing = await conn.list_attempts(
                fence=fence,
                born_ms=report.born_ms,
                settled_number=table.settled_number,
                deadline_ms=deadline_ms,
                wait_s=wait_s,
                timeout_s=max(timeout_s, late_s),
            )
        except WorkerReplaced as exc:
            # The other worker may have reported during the poll.
            if report.worker_id == supervisor.report.worker_id:
                supervisor.mark_left(f"{exc}")
            return PollResult.GONE
        except WorkerUnavailable as exc:
            self._handle_unavailable(exc, sent_s=sent_s)
            return PollResult.LOST
        self._latency_s = max(0.0, boot_clock_s() - sent_s - wait_s)
        self.record_answer()
        if listing is None or report.boot != supervisor.report.boot:
            _log.info(
                "poll_refused",
                vm=supervisor.vm,
                fence=fence,
                boot=report.boot,
            )
            return PollResult.REFUSED
        if listing.born_ms and listing.born_ms != supervisor.report.born_ms:
            # Each boot numbers its ends from 1: what was settled in the
            # previous boot must not settle ends of this one.
            supervisor.update(
                dataclasses.replace(
                    supervisor.report,
                    born_ms=listing.born_ms,
                    number=NO_REPORT,
                )
            )
            return PollResult.ANSWERED
        if deadline_ms is not None:
            self._record_extension(sent_s + remaining_s)
        self._apply(listing, fence=fence, sent_s=sent_s)
        return PollResult.ANSWERED

    def _apply(self, listing, *, fence, sent_s):
        """Apply a list, unless a newer one has been applied.

        Lists over several connections may overtake each other.
        """
        if sent_s < self._listed_sent_s:
            return
        self._listed_sent_s = sent_s
        supervisor = self._supervisor
        supervisor.clock.update(listing.clock_ms)
        supervisor.table.apply_listing(
            listing, sent_s=sent_s, now_s=boot_clock_s()
        )
        supervisor.record_listing(listing, fence=fence)

    def _record_extension(self, end_s):
        left_s = self._supervisor.clock.record_extension(end_s)
        if left_s is not None:
            _log.info(
                "hold_late",
                vm=self._supervisor.vm,
                remaining_ms=int(left_s * 1000),
            )

    def record_answer(self):
        """Record that the worker, or a new boot of it, answers."""
        if self._silence.record_answer(boot_clock_s()):
            _log.info("worker_answers", vm=self._supervisor.vm)
            self._supervisor.table.notify()

    def _handle_unavailable(self, exc, *, sent_s):
        """Record a lost poll, and end attempts that cannot run any more.

        :param exc: The :class:`radishlanding.worker.WorkerUnavailable`.
        :param sent_s: When the poll was sent, on the boot clock, in seconds.
        """
        supervisor, now_s = self._supervisor, boot_clock_s()
        self._failure_log.record(
            supervisor.vm,
            exc,
            answered_s=self._silence.answered_s,
            now_s=now_s,
        )
        # The worker may have answered a poll on another connection since.
        has_answered = sent_s < self._silence.answered_s
        if not has_answered and self._silence.record_failure(now_s):
            _log.warning(
                "worker_silent",
                vm=supervisor.vm,
                boot=supervisor.report.boot,
            )
            supervisor.table.notify()
        # Another writer may have deregistered a worker that is only slow.
        if supervisor.is_leaving and (
            supervisor.report.is_draining or exc.was_refused
        ):
            supervisor.mark_left(
                "the worker has deregistered and does not answer"
            )
        elif supervisor.table.active() and supervisor.clock.has_expired():
            supervisor.table.end_all(
                reason="the worker does not answer and its hold has expired"
            )
