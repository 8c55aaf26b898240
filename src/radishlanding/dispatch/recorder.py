"""Commits changes of workflows to the log and publishes them."""

import uuid

import trio

from radishlanding.dispatch.entry_room import EntryRoom
from radishlanding.dispatch.entry_room import MAX_PART_BYTES
from radishlanding.dispatch.wall_clock import now_ms
from radishlanding.observe import EventLog
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry

# A loss of power costs this much work of a task and half a report interval;
# each time costs an entry.
CHECKPOINT_INTERVAL_S = 2.0
# Leaves the link to appends after a failed transfer of the whole state.
SNAPSHOT_RETRY_DELAY_S = 1.0

_log = EventLog("radishlanding.dispatch")


class Recorder:
    """Append log entries one after the other and publish them.

    The registry is ahead of the log by the entry that is being appended.
    Callers and VMs learn of a change only after its entry is committed.
    """

    __slots__ = (
        "_checkpoints",
        "_checkpoints_due_s",
        "_clock",
        "_committing",
        "_counters",
        "_ends",
        "_fleet",
        "_lacks_room",
        "_log",
        "_order_sender",
        "_planner",
        "_registry",
        "_site_watch",
        "_snapshot_retry_s",
        "_starts",
        "_submissions",
        "_wake",
    )

    def __init__(
        self,
        *,
        log,
        registry,
        site_watch,
        planner,
        fleet,
        order_sender,
        counters,
        clock,
        starts,
    ):
        """Initialise the recorder; :meth:`run` appends entries.

        :param log: A claimed :class:`EntryLog`.
        :param registry: The :class:`radishlanding.workflow.WorkflowRegistry`
            that was recovered from the log.
        :param site_watch: A :class:`SiteWatch`.
        :param planner: A :class:`radishlanding.policy.WorkflowPlanner`.
        :param fleet: The :class:`Fleet`.
        :param order_sender: The :class:`OrderSender`.
        :param counters: Metrics counters of the process.
        :param clock: The :class:`RetentionClock` of the leader.
        :param starts: The :class:`PendingStarts`.
        """
        self._clock = clock
        self._registry = registry
        # Those that are due and wait for room in an entry.
        self._checkpoints = []
        self._checkpoints_due_s = 0.0
        self._committing = {}
        self._counters = counters
        self._ends = {}
        self._fleet = fleet
        self._lacks_room = False
        self._submissions = None
        self._log = log
        self._order_sender = order_sender
        self._planner = planner
        self._site_watch = site_watch
        self._snapshot_retry_s = 0.0
        self._starts = starts
        self._wake = trio.Event()

    def connect(self, submissions):
        """Take submissions from a :class:`SubmissionQueue`."""
        self._submissions = submissions

    def wake(self):
        """Make :meth:`run` collect changes and place tasks."""
        self._wake.set()

    def wake_for_room(self):
        """Make :meth:`run` place tasks that the link had no room for."""
        if self._lacks_room:
            self.wake()

    async def run(self):
        """Append entries until another process leads.

        :raises Fenced: Another process leads now.
        :raises WriteRefused: The store does not accept an entry.
        """
        while True:
            await self._wake.wait()
            self._wake = trio.Event()
            entry = self._collect()
            while entry.size():
                await self._log.append(entry)
                self._publish(entry)
                await self._snapshot_when_due()
                entry = self._collect()
            await self._snapshot_when_due()

    async def _snapshot_when_due(self):
        """Make a snapshot; the registry must not be ahead of the log."""
        if not self._log.needs_snapshot() or (
            boot_clock_s() < self._snapshot_retry_s
        ):
            return
        try:
            await self._log.snapshot(
                self._registry, now_ms=self._clock.now_ms()
            )
        except StoreUnavailable as exc:
            self._snapshot_retry_s = boot_clock_s() + SNAPSHOT_RETRY_DELAY_S
            _log.warning("snapshot_failed", reason=exc)

    def _collect(self):
        """Return the next entry, applied to the registry."""
        room = EntryRoom()
        accepted, cancelled, tombstones = self._submissions.collect(room)
        self._committing = self._collect_ends(room)
        entry = LogEntry(
            commit_id=uuid.uuid4().hex,
            made_ms=now_ms(),
            accepted=accepted,
            cancelled=cancelled,
            tombstones=tombstones,
            ends=[end for end, _ in self._committing.values()],
            checkpoints=self._collect_checkpoints(room),
        )
        # Notices a step of the wall clock before it is on record.
        self._clock.now_ms()
        self._process_ends()
        self._registry.apply(entry)
        self._planner.mark_changed(_changed_workflows(entry))
        self._planner.mark_ran(_ran_workflows(entry), now_ms=entry.made_ms)
        planned = LogEntry(
            commit_id="",
            made_ms=entry.made_ms,
            assignments=self._plan(entry.made_ms),
        )
        planned.started = self._starts.collect(
            room, has_changes=bool(entry.size() + planned.size())
        )
        self._registry.apply(planned)
        entry.assignments = planned.assignments
        entry.started = planned.started
        self._fleet.uncommitted.update(
            item.task_id for item in entry.ends + entry.assignments
        )
        return entry

    def _collect_ends(self, room):
        """Return the first queued ends that fit, and remove them."""
        taken = room.take(
            (end for end, _ in self._ends.values()), max_bytes=MAX_PART_BYTES
        )
        keys = [(end.task_id, end.attempt) for end in taken]
        return {key: self._ends.pop(key) for key in keys}

    def _collect_checkpoints(self, room):
        """Return checkpoints of running attempts every few seconds.

        Reports keep this process informed. The record is for the case that it
        loses power together with the workers. What does not fit into one
        entry goes into the next ones.
        """
        now_s = boot_clock_s()
        if not self._checkpoints and now_s >= self._checkpoints_due_s:
            self._checkpoints = self._fleet.unrecorded_checkpoints()
            if self._checkpoints:
                self._checkpoints_due_s = now_s + CHECKPOINT_INTERVAL_S
        taken = room.take(self._checkpoints, max_bytes=MAX_PART_BYTES)
        del self._checkpoints[: len(taken)]
        return taken

    def _process_ends(self):
        for end, vm in self._committing.values():
            if vm:
                self._fleet.record_end(end, vm)
            if vm and end.kind == EndKind.NOT_RUN:
                self._order_sender.drop_ticket(end, vm)

    def _plan(self, now_ms):
        max_bytes = self._order_sender.room_bytes
        self._lacks_room = not max_bytes
        if not self._site_watch.is_ready or not max_bytes:
            return []
        records = [
            record
            for record in self._registry.workflows.values()
            if not record.phase.has_ended
        ]
        self._planner.update(records, self._loads, now_ms=now_ms)
        active = [
            record
            for record in records
            if not self._planner.is_fully_placed(record)
        ]
        if not active:
            return []
        loads = self._loads()
        if not loads:
            return []
        assignments = self._planner.plan(
            active, loads, now_ms=now_ms, max_bytes=max_bytes
        )
        self._lacks_room = self._planner.was_cut_short
        return assignments

    def _loads(self):
        return self._fleet.loads(self._site_watch.site, with_stuck=True)

    def _publish(self, entry):
        """Make a committed entry visible to callers and VMs."""
        self._counters.add("entries")
        self._counters.add("entry_changes", entry.size())
        workflow_ids = _changed_workflows(entry)
        workflow_ids.update(
            item.task_id.partition(".")[0] for item in entry.assignments
        )
        workflow_ids.update(entry.started)
        for workflow_id in workflow_ids:
            record = self._registry.workflows.get(workflow_id)
            if record is not None and record.shown != record.phase:
                _log.info(
                    "workflow_changed",
                    workflow=workflow_id,
                    queue=record.workflow.queue,
                    phase=record.phase,
                    before=record.shown or "new",
                    age_ms=entry.made_ms - record.workflow.accepted_ms,
                )
                record.shown = record.phase
        self._fleet.uncommitted.clear()
        self._submissions.settle(entry)
        self._order_sender.acknowledge(self._committing.values())
        self._committing = {}
        self._order_assigned(entry.assignments)
        if entry.cancelled:
            self._order_sender.stop_unwanted()

    def _order_assigned(self, assignments):
        """Order the start of assigned attempts that have not been given up.

        The VM may have been lost, and have come back, since the entry was
        made; the next entry may assign the task to another one.
        """
        self._order_sender.start(
            item
            for item in assignments
            if (item.task_id, item.attempt) not in self._ends
        )

    def add_ends(self, ends, *, vm):
        """Queue ends for the next entry.

        Another kind of end replaces a queued interruption of the same
        attempt: a VM that was taken for lost reports how its tasks ended.

        :param ends: :class:`radishlanding.workflow.TaskEnd` objects.
        :param vm: VM that reported the ends, empty if none did.
        :returns: Ends that change nothing and thus need no entry.
        """
        settled = []
        for end in ends:
            key = (end.task_id, end.attempt)
            if key in self._committing:
                continue
            queued, _ = self._ends.get(key, (None, vm))
            if queued is not None and (
                queued.kind != EndKind.INTERRUPTED or queued.kind == end.kind
            ):
                continue
            if self._registry.needs(end):
                self._ends[key] = (end, vm)
                self.wake()
            else:
                settled.append(end)
        return settled


def _changed_workflows(entry):
    """Return the ids of workflows that an entry changes, but for assignments.

    :param entry: A :class:`radishlanding.workflow.LogEntry`.
    """
    workflow_ids = {workflow.workflow_id for workflow in entry.accepted}
    workflow_ids.update(entry.cancelled)
    workflow_ids.update(end.task_id.partition(".")[0] for end in entry.ends)
    return workflow_ids


def _ran_workflows(entry):
    """Return the ids of workflows of which attempts that have run ended.

    :param entry: A :class:`radishlanding.workflow.LogEntry`.
    """
    return {
        end.task_id.partition(".")[0]
        for end in entry.ends
        if end.kind != EndKind.NOT_RUN
    }
