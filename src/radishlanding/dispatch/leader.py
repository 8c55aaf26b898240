"""Leads the workflows of a site."""

import functools
import math

import trio

from radishlanding.dispatch.admission_control import AdmissionControl
from radishlanding.dispatch.answers import found_answer
from radishlanding.dispatch.early_cancellations import EarlyCancellations
from radishlanding.dispatch.entry_room import MAX_PART_BYTES
from radishlanding.dispatch.fleet import Fleet
from radishlanding.dispatch.interference_store import InterferenceStore
from radishlanding.dispatch.leadership_monitor import LeadershipMonitor
from radishlanding.dispatch.order_sender import OrderSender
from radishlanding.dispatch.pending_starts import PendingStarts
from radishlanding.dispatch.queue_view import QueueView
from radishlanding.dispatch.recorder import Recorder
from radishlanding.dispatch.recovery_monitor import RecoveryMonitor
from radishlanding.dispatch.retention_clock import RetentionClock
from radishlanding.dispatch.run_time_monitor import RunTimeMonitor
from radishlanding.dispatch.run_time_store import RunTimeStore
from radishlanding.dispatch.send_gate import SendGate
from radishlanding.dispatch.stall_reporter import StallReporter
from radishlanding.dispatch.start_monitor import StartMonitor
from radishlanding.dispatch.submission_queue import SubmissionQueue
from radishlanding.dispatch.task_mover import TaskMover
from radishlanding.dispatch.task_ranker import TaskRanker
from radishlanding.dispatch.ticket_prefetcher import TicketPrefetcher
from radishlanding.dispatch.wait_reporter import WaitReporter
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.journal import Fenced
from radishlanding.message import VmReportAck
from radishlanding.message import WorkflowAnswer
from radishlanding.message.refused import STORE_UNANSWERED
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.policy import CallerEstimates
from radishlanding.policy import DEFAULT_LINK_MBPS
from radishlanding.policy import SendWindow
from radishlanding.policy import VmTrust
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import WorkflowOutcome

# Interval at which due times, leases and quarantines are checked.
TICK_S = 0.25
# Losing one second of learning is harmless, as new images are rare.
IMAGE_SAVE_INTERVAL_S = 1.0
# Run times are learned all the time, and their value of 10 to 20 kB shares the
# link with the log; a successor learns them again within a minute anyway.
RUN_TIME_SAVE_INTERVAL_S = 10.0
# One second, so that reports show the effect of the last moves.
TICKS_PER_REBALANCE = 4
# A workflow is reported as absent only on a proof of leadership this recent.
MAX_PROOF_AGE_S = 1.0

_log = EventLog("radishlanding.dispatch")


class Leader:
    """Handle the requests of callers and the reports of VMs.

    Changes take effect only once they are committed; see :class:`Recorder`.
    """

    __slots__ = (
        "_admission",
        "_early_cancellations",
        "_interference_store",
        "_leadership",
        "_log",
        "_mover",
        "_on_store_unreachable",
        "_order_sender",
        "_planner",
        "_queue_view",
        "_ranker",
        "_recorder",
        "_recovery",
        "_registry",
        "_run_time_store",
        "_site_watch",
        "_stall_reporter",
        "_start_monitor",
        "_starts",
        "_submissions",
        "_ticket_prefetcher",
        "_timing",
        "_wait_reporter",
        "fleet",
    )

    def __init__(
        self,
        *,
        log,
        registry,
        site_watch,
        planner,
        interference,
        timing,
        counters,
        on_store_unreachable,
        run_times=None,
        tickets=None,
        advisor=None,
        link_mbps=DEFAULT_LINK_MBPS,
        listening_s=None,
    ):
        """Initialise the leader; :meth:`run` leads.

        :param log: A claimed :class:`EntryLog`.
        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`
            that was recovered from the log.
        :param site_watch: A :class:`SiteWatch`.
        :param planner: A :class:`radishlanding.policy.WorkflowPlanner`.
        :param interference: The
            :class:`radishlanding.policy.Interference` of the planner.
        :param timing: A :class:`radishlanding.vm.LeaseTiming`.
        :param counters: Metrics counters of the process.
        :param on_store_unreachable: Coroutine function that asks other
            dispatchers to lead.
        :param run_times: The :class:`radishlanding.policy.RunTimeLearner` to
            train, None for the callers' estimates.
        :param tickets: The :class:`radishlanding.policy.TicketCache` of the
            planner, None if the site has no advisor.
        :param advisor: A :class:`radishlanding.worker.Advisor`, or None.
        :param link_mbps: Bandwidth of this process's link, in megabits per
            second.
        :param listening_s: See :class:`RecoveryMonitor`.
        """
        self._registry = registry
        self._log = log
        self._on_store_unreachable = on_store_unreachable
        run_times = run_times or CallerEstimates()
        vm_trust = VmTrust()
        self._interference_store = InterferenceStore(interference=interference)
        self._run_time_store = RunTimeStore(
            run_times=run_times, counters=counters
        )
        self._leadership = LeadershipMonitor(
            entry_log=log, on_store_unreachable=self._handle_store_outage
        )
        self._site_watch = site_watch
        self._timing = timing
        self.fleet = Fleet(
            registry=registry,
            epoch=log.epoch,
            timing=timing,
            interference=interference,
            run_time_monitor=RunTimeMonitor(
                registry=registry,
                run_times=run_times,
                vm_trust=vm_trust,
                counters=counters,
            ),
            vm_trust=vm_trust,
            counters=counters,
            inherited_leases_s=log.inherited_leases_s,
            earlier_leases_start_s=log.earlier_leases_start_s,
        )
        self._recovery = RecoveryMonitor(
            registry=registry,
            fleet=self.fleet,
            counters=counters,
            claimed_s=log.claimed_s,
            listening_s=listening_s,
        )
        window = SendWindow(link_mbps=link_mbps)
        self._order_sender = OrderSender(
            registry=registry,
            fleet=self.fleet,
            epoch=log.epoch,
            counters=counters,
            gate=SendGate(window=window),
            site_watch=site_watch,
            run_times=run_times,
            tickets=tickets,
        )
        self._ranker = TaskRanker(
            registry=registry,
            fleet=self.fleet,
            planner=planner,
            run_times=run_times,
            counters=counters,
        )
        self._mover = TaskMover(
            registry=registry,
            fleet=self.fleet,
            order_sender=self._order_sender,
            planner=planner,
            ranker=self._ranker,
            run_times=run_times,
            interference=interference,
            site_watch=site_watch,
            counters=counters,
        )
        self._wait_reporter = WaitReporter(
            registry=registry,
            planner=planner,
            fleet=self.fleet,
            site_watch=site_watch,
        )
        self._planner = planner
        self._start_monitor = StartMonitor(registry=registry, fleet=self.fleet)
        self._stall_reporter = StallReporter(
            registry=registry, monitor=self._start_monitor, counters=counters
        )
        self._starts = PendingStarts(registry=registry)
        clock = RetentionClock(last_ms=registry.last_ms)
        self._recorder = Recorder(
            log=log,
            registry=registry,
            site_watch=site_watch,
            planner=planner,
            fleet=self.fleet,
            order_sender=self._order_sender,
            counters=counters,
            clock=clock,
            starts=self._starts,
        )
        self._admission = AdmissionControl(
            registry=registry,
            planner=planner,
            fleet=self.fleet,
            site_watch=site_watch,
            run_times=run_times,
            counters=counters,
        )
        self._queue_view = QueueView(
            admission=self._admission, planner=planner, counters=counters
        )
        self._early_cancellations = EarlyCancellations(
            registry=registry, clock=clock, counters=counters
        )
        self._submissions = SubmissionQueue(
            registry=registry,
            wake=self._recorder.wake,
            max_entry_bytes=min(window.size_bytes, MAX_PART_BYTES),
            stored_size=log.stored_size,
            counters=counters,
            early_cancellations=self._early_cancellations,
            admission=self._admission,
        )
        self._recorder.connect(self._submissions)
        self._ticket_prefetcher = None
        if advisor is not None:
            self._ticket_prefetcher = TicketPrefetcher(
                advisor=advisor,
                registry=registry,
                fleet=self.fleet,
                tickets=tickets,
                planner=planner,
                site_watch=site_watch,
                counters=counters,
                wake=self._recorder.wake,
            )

    @property
    def epoch(self):
        """Return the epoch of the leadership."""
        return self._log.epoch

    async def prepare(self, store):
        """Restore what was learned; to be called before :meth:`run`.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._interference_store.load, store)
            nursery.start_soon(self._run_time_store.load, store)

    async def run(self):
        """Lead until another process takes over.

        :raises Fenced: Another process leads now.
        :raises WriteRefused: The store does not accept an entry; its changes
            are not on record, and this leader cannot go on.
        """
        try:
            async with trio.open_nursery() as nursery:
                self._order_sender.open(
                    nursery,
                    on_answered=self._recorder.wake_for_room,
                    on_unsent=functools.partial(
                        self._recorder.add_ends, vm=""
                    ),
                )
                nursery.start_soon(self._tick)
                nursery.start_soon(self._leadership.run)
                nursery.start_soon(self._save_images)
                nursery.start_soon(self._save_run_times)
                if self._ticket_prefetcher is not None:
                    nursery.start_soon(self._ticket_prefetcher.run)
                await self._recorder.run()
        finally:
            self._submissions.close()

    async def _tick(self):
        while True:
            for _ in range(TICKS_PER_REBALANCE):
                await trio.sleep(TICK_S)
                self._recorder.add_ends(self.fleet.lost_vm_ends(), vm="")
                self._recorder.wake()
                self._recovery.check()
                self._use_stalls()
            self._ranker.rank()
            self._admission.update()
            self._mover.rebalance()
            self._wait_reporter.report()
            self._stall_reporter.report()

    def _use_stalls(self):
        self._start_monitor.update()
        self._planner.use_stalls(self._start_monitor.stalls(), now_ms=now_ms())

    @property
    def is_store_unreachable(self):
        """Return whether the store has not answered for some time."""
        return self._leadership.is_store_unreachable

    async def _handle_store_outage(self):
        """Release waiting callers and ask other dispatchers to lead."""
        self._submissions.release_uncollected()
        await self._on_store_unreachable()

    async def _save_images(self):
        while True:
            await trio.sleep(IMAGE_SAVE_INTERVAL_S)
            await self._interference_store.save(self._log)
            self.fleet.prune_ended()

    async def _save_run_times(self):
        while True:
            await trio.sleep(RUN_TIME_SAVE_INTERVAL_S)
            await self._run_time_store.save(self._log)

    def hello(self, hello, conn):
        """Open a session for a VM; see :meth:`Fleet.open_session`."""
        return self.fleet.open_session(hello, conn)

    async def prove_leadership(self):
        """Renew the proof of leadership, if the store answers."""
        try:
            await self._log.confirm()
        except (StoreUnavailable, Fenced) as exc:
            _log.info("proof_not_renewed", epoch=self.epoch, reason=exc)

    def report(self, session, report, *, arrived_s=None):
        """Handle a report of a VM.

        :param session: :class:`VmSession` of the VM.
        :param report: A :class:`radishlanding.message.VmReport`.
        :param arrived_s: When the report arrived, on the boot clock, in
            seconds; None for now. The lease of an agent that does not read
            the age of the proof begins with its report, so that it is
            granted only on a later proof; see :meth:`prove_leadership`.
        :returns: A :class:`radishlanding.message.VmReportAck`.
        """
        had_full_report = session.has_full_report
        self._starts.observe(report)
        ends = self.fleet.update(session, report)
        self._start_monitor.observe(session, ends)
        settled = self._recorder.add_ends(ends, vm=session.vm)
        self._order_sender.acknowledge_ends(session, settled)
        self._order_sender.stop(session, self.fleet.unwanted_attempts(session))
        if session.has_full_report != had_full_report:
            self._recorder.wake()
        proved_s, now_s = self._log.confirmed_s, boot_clock_s()
        proof_age_s = now_s - proved_s
        if not session.reads_proof_age:
            is_granted = proved_s >= (
                now_s if arrived_s is None else arrived_s
            )
        else:
            is_granted = proof_age_s < self._timing.owner_grace_s
        if is_granted:
            self.fleet.grant(session, start_s=proved_s)
        return VmReportAck(
            granted=is_granted,
            proof_age_ms=math.ceil(proof_age_s * 1000),
            weights=self.fleet.image_weights(session),
            orders=self._order_sender.missing_orders(session),
            precedence=self._ranker.precedence(session),
        )

    async def resign(self):
        """Let another process lead; :meth:`run` must have ended.

        :raises Fenced: Another process leads already.
        :raises StoreUnavailable: The store did not answer.
        """
        await self._log.resign(self.fleet.leases_s())

    def drop(self, conn):
        """Close the sessions of a connection."""
        self.fleet.drop(conn)

    async def submit(self, workflow, *, request_id):
        """Record a workflow; see :meth:`SubmissionQueue.submit`.

        :param workflow: A :class:`radishlanding.workflow.Workflow`.
        :param request_id: Identity of the caller's request, for the log.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        :raises CallRefused: The store is unreachable and the workflow is
            not known here; another leader may be asked.
        """
        self._require_store(workflow.workflow_id, workflow.queue_ref)
        answer = await self._submissions.submit(workflow)
        _log.info(
            "submitted",
            workflow=workflow.workflow_id,
            request=request_id,
            queue=workflow.queue,
            outcome=answer.outcome,
            phase=answer.phase or "none",
            reason=answer.reason or "none",
            proof_age_s=f"{self._leadership.proof_age_s:.3f}",
            epoch=self.epoch,
        )
        return answer

    def _require_store(self, workflow_id, queue):
        """Refuse a call that can't be answered while the store is away."""
        if self.is_store_unreachable and (
            self._registry.find_workflow(workflow_id, queue) is None
        ):
            raise CallRefused(STORE_UNANSWERED)

    async def cancel(self, workflow_id, queue, *, request_id):
        """Record the cancellation of a workflow, also of an unknown one.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`radishlanding.workflow.QueueRef` of its queue.
        :param request_id: Identity of the caller's request, for the log.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        :raises CallRefused: See :meth:`SubmissionQueue.cancel`; also, the
            store is unreachable and the workflow is not known here.
        """
        self._require_store(workflow_id, queue)
        if self._early_cancellations.is_recent(workflow_id, queue):
            answer = await self.find(workflow_id, queue)
        else:
            answer = await self._submissions.cancel(workflow_id, queue)
        _log.info(
            "cancelled",
            workflow=workflow_id,
            request=request_id,
            queue=queue.name or "any",
            outcome=answer.outcome,
            phase=answer.phase or "none",
            reason=answer.reason or "none",
            epoch=self.epoch,
        )
        return answer

    async def find(self, workflow_id, queue):
        """Return the committed phase of a workflow.

        An unknown workflow is reported as absent only if this process has
        recently proved that it leads; otherwise the answer is uncertain.

        :param workflow_id: Identity of the workflow.
        :param queue: :class:`radishlanding.workflow.QueueRef` of its queue.
        :returns: A :class:`radishlanding.message.WorkflowAnswer`.
        """
        record = self._registry.find_workflow(workflow_id, queue)
        if record is not None and record.shown:
            return found_answer(record)
        if record is None and self._leadership.proof_age_s > MAX_PROOF_AGE_S:
            try:
                await self._log.confirm()
            except StoreUnavailable as exc:
                return WorkflowAnswer(
                    outcome=WorkflowOutcome.UNCERTAIN, reason=str(exc)
                )
            except Fenced as exc:
                self._recorder.wake()
                return WorkflowAnswer(
                    outcome=WorkflowOutcome.UNCERTAIN, reason=str(exc)
                )
        if record is None:
            return WorkflowAnswer(outcome=WorkflowOutcome.ABSENT)
        return WorkflowAnswer(
            outcome=WorkflowOutcome.UNCERTAIN, reason="being recorded"
        )

    def queues(self):
        """Return the state of all queues; see :class:`QueueView`."""
        return {"epoch": self.epoch, **self._queue_view.summary()}

    def backlog(self, queue):
        """Return how many workflows of a queue have not started.

        :param queue: :class:`radishlanding.workflow.QueueRef` of the queue.
        """
        return self._registry.backlog(queue)
