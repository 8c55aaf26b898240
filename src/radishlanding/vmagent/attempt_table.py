"""Table of the attempts on a worker."""

import trio

from radishlanding.observe import EventLog
from radishlanding.policy import FULL_PERCENT
from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.late_starts import LateStarts
from radishlanding.vmagent.task_attempt import TaskAttempt
from radishlanding.workflow import EndKind

_log = EventLog("radishlanding.vmagent")


class AttemptTable:
    """Hold the attempts on a worker until their ends are on record.

    An end is settled once the leader has it on record. The worker numbers
    the ends of a boot from 1, and may forget those up to
    ``settled_number``.
    """

    __slots__ = (
        "_attempts",
        "_changed",
        "_settled",
        "late_starts",
        "settled_number",
    )

    def __init__(self):
        """Start empty."""
        self._changed = trio.Event()
        self._settled = set()
        self._attempts = {}
        self.late_starts = LateStarts()
        self.settled_number = 0

    async def wait_changed(self):
        """Wait until :meth:`notify` is called."""
        await self._changed.wait()

    def notify(self):
        """Wake the tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    def get(self, task_id, attempt):
        """Return an attempt, or None."""
        return self._attempts.get((task_id, attempt))

    def attach_orders(self, orders):
        """Set the orders of attempts that were found without one.

        :param orders: :class:`radishlanding.message.TaskOrder` objects.
        """
        for order in orders:
            task = self.get(order.task_id, order.attempt)
            if task is not None and task.order is None:
                task.order = order
                if not order.fills:
                    task.set_pace(FULL_PERCENT, now_s=boot_clock_s())
                _log.info(
                    "order_learnt",
                    task=order.task_id,
                    attempt=order.attempt,
                    fills=order.fills,
                    target_ms=order.latency_target_ms,
                )

    def add(self, task):
        """Add a :class:`TaskAttempt`."""
        self._attempts[task.key] = task

    def has_attempts(self):
        """Return whether there is an attempt that is not settled."""
        return bool(self._attempts)

    def active(self):
        """Return the attempts that may run."""
        return [task for task in self._attempts.values() if task.end is None]

    def ended(self):
        """Return the ended attempts that are not settled."""
        return [
            task for task in self._attempts.values() if task.end is not None
        ]

    def has_uncertain(self):
        """Return whether a list may show what became of an active attempt.

        That is one whose start is unanswered, or that is being stopped.
        """
        now_s = boot_clock_s()
        return any(
            task.is_stop_begun
            or (task.unanswered_starts and task.doubt_s(now_s))
            for task in self.active()
        )

    def record_resolution(self, task, *, outcome, by):
        """Log what became of an unanswered start, once it is known.

        :param task: The :class:`TaskAttempt`, in its state before that.
        :param outcome: ``running`` or how the attempt ended.
        :param by: What showed it: ``answer``, ``list``, ``stop`` together
            with a list, or ``worker`` for its end or silence.
        """
        doubt_s = task.doubt_s(boot_clock_s())
        if doubt_s:
            _log.info(
                "start_resolved",
                task=task.task_id,
                attempt=task.attempt,
                vm=task.vm,
                outcome=outcome,
                doubt_ms=int(doubt_s * 1000),
                by=by,
            )

    def end(self, task, kind, *, reason, number=0, checkpoint="", by="worker"):
        """Record the end of an attempt; later calls change nothing.

        :param task: The :class:`TaskAttempt`.
        :param kind: An :class:`radishlanding.workflow.EndKind`.
        :param reason: Why it ended, for reports and the log.
        :param number: The worker's number of the end, 0 for none.
        :param checkpoint: Checkpoint to resume from, empty to keep the last.
        :param by: What showed it, see :meth:`record_resolution`.
        """
        if task.end is not None:
            return
        self.record_resolution(task, outcome=kind, by=by)
        if task.unanswered_starts:
            self.late_starts.add(task.key)
        task.end = kind
        task.end_reason = reason
        task.end_number = number
        task.checkpoint = checkpoint or task.checkpoint
        _log.info(
            "task_ended",
            task=task.task_id,
            attempt=task.attempt,
            kind=kind,
            reason=reason,
            number=number,
            progress=task.progress,
        )
        self.notify()

    def refuse_unsent(self, *, reason):
        """Record that attempts whose start was not sent will not run."""
        for task in self.active():
            if not task.is_sent:
                self.end(task, EndKind.NOT_RUN, reason=reason)

    def end_all(self, *, reason):
        """Record that all active attempts were interrupted."""
        self.end_tasks(self.active(), reason=reason)

    def end_tasks(self, tasks, *, reason):
        """Record that attempts were interrupted."""
        for task in tasks:
            self.end(task, EndKind.INTERRUPTED, reason=reason)

    def settle(self, keys):
        """Remove ended attempts whose ends are on record.

        This wakes nobody: the leader knows, and the worker is polled often
        while ends are not settled.

        :param keys: Pairs of task and attempt.
        """
        for key in keys:
            task = self._attempts.get(key)
            if task is not None and task.end is not None:
                del self._attempts[key]
                if task.end_number > self.settled_number:
                    self._settled.add(task.end_number)
        self._advance_settled(self.settled_number)

    def _advance_settled(self, number):
        """Advance the settled number to at least ``number``.

        Settled ends that follow on it without a gap are included.
        """
        while number + 1 in self._settled:
            number += 1
        self.settled_number = number
        self._settled = {later for later in self._settled if later > number}

    def reset_end_numbers(self):
        """Drop the end numbers, as a new boot of the worker restarts them."""
        self.settled_number = 0
        self._settled.clear()
        for task in self._attempts.values():
            task.end_number = 0

    def apply_listing(self, listing, *, sent_s, now_s):
        """Update the table from a list of the worker.

        :param listing: A :class:`radishlanding.worker.AttemptListing`.
        :param sent_s: When it was requested, on the boot clock, in seconds.
        :param now_s: Current time on the boot clock, in seconds.
        """
        listed = set()
        for row in listing.running:
            task = self._find_or_add(row)
            listed.add(task.key)
            self.record_resolution(task, outcome="running", by="list")
            task.checkpoint = row.checkpoint or task.checkpoint
            task.observe_progress(row.progress, now_s=now_s)
            task.gauge = row.gauge
            task.gauge_at_s = now_s
            task.is_listed = True
            if not task.is_confirmed:
                task.is_confirmed = True
                task.confirmed_s = now_s
        if listing.ended:
            # An earlier agent settled the ends before the oldest one listed.
            oldest = min(row.number for row in listing.ended)
            self._advance_settled(max(self.settled_number, oldest - 1))
        for row in listing.ended:
            if row.number <= self.settled_number:
                continue
            if row.number in self._settled:
                continue
            task = self._find_or_add(row)
            listed.add(task.key)
            task.end_number = row.number
            if row.kind == EndKind.DONE:
                task.work_meter.finish(
                    pace_percent=task.pace_percent, now_s=now_s
                )
            self.end(
                task,
                row.kind,
                reason=row.reason,
                number=row.number,
                checkpoint=row.checkpoint,
                by="list",
            )
            task.is_listed = True
        if not listing.is_complete:
            return
        for task in self.active():
            if task.key in listed:
                continue
            if task.is_confirmed and task.confirmed_s < sent_s:
                self._end_unlisted(task, by="stop")
            elif task.cannot_start_after(listing, sent_s=sent_s):
                self._end_unlisted(task, by="list")

    def _end_unlisted(self, task, *, by):
        """Record the end of an attempt that the worker does not list."""
        if task.not_run_reason and not task.has_run:
            kind, reason = EndKind.NOT_RUN, task.not_run_reason
        else:
            kind, reason = EndKind.INTERRUPTED, "unknown to the worker"
        self.end(task, kind, reason=reason, by=by)

    def _find_or_add(self, row):
        task = self._attempts.get((row.task_id, row.attempt))
        if task is None:
            task = TaskAttempt(
                task_id=row.task_id,
                attempt=row.attempt,
                is_listed=True,
                is_confirmed=True,
                is_sent=True,
                # An earlier agent may have left one.
                unanswered_starts=1,
                pace_percent=None,
            )
            self.add(task)
            _log.info(
                "task_found",
                task=row.task_id,
                attempt=row.attempt,
                known=task.order is not None,
            )
            self.notify()
        return task
