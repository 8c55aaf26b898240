"""The attempts on a worker."""

import trio

from radishlanding.observe import EventLog
from radishlanding.policy import FULL_PERCENT
from radishlanding.vmagent.task_attempt import TaskAttempt
from radishlanding.workflow import EndKind

_log = EventLog("radishlanding.vmagent")


class AttemptTable:
    """Hold attempts until their ends are on record."""

    __slots__ = ("_changed", "_settled", "_tasks", "settled_number")

    def __init__(self):
        """Start empty."""
        self._changed = trio.Event()
        self._settled = set()
        self._tasks = {}
        self.settled_number = 0

    async def wait_changed(self):
        """Wait until there is something to report, or to settle."""
        await self._changed.wait()

    def notify(self):
        """Wake who waits for a change."""
        self._changed.set()
        self._changed = trio.Event()

    def get(self, task_id, attempt):
        """Return an attempt, or None."""
        return self._tasks.get((task_id, attempt))

    def take_orders(self, orders):
        """Learn what was ordered of attempts that were found.

        :param orders: :class:`radishlanding.message.TaskOrder` objects.
        """
        for order in orders:
            task = self.get(order.task_id, order.attempt)
            if task is not None and task.order is None:
                task.order = order
                if not order.fills:
                    task.pace_percent = FULL_PERCENT
                _log.info(
                    "order_learnt",
                    task=order.task_id,
                    attempt=order.attempt,
                    fills=order.fills,
                    target_ms=order.latency_target_ms,
                )

    def add(self, task):
        """Hold an attempt."""
        self._tasks[task.key] = task

    def active(self):
        """Return the attempts that may run."""
        return [task for task in self._tasks.values() if task.end is None]

    def ended(self):
        """Return the attempts whose ends are not known to be on record."""
        return [task for task in self._tasks.values() if task.end is not None]

    def end(self, task, kind, *, reason, number=0, checkpoint=""):
        """Note how an attempt ended."""
        if task.end is not None:
            return
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

    def end_all(self, *, reason):
        """Note that everything was killed."""
        self.end_each(self.active(), reason=reason)

    def end_each(self, tasks, *, reason):
        """Note that attempts were killed."""
        for task in tasks:
            self.end(task, EndKind.INTERRUPTED, reason=reason)

    def settle(self, keys):
        """Forget ends that are on record.

        :param keys: Pairs of task and attempt.
        """
        for key in keys:
            task = self._tasks.get(key)
            if task is not None and task.end is not None:
                del self._tasks[key]
                if task.end_number > self.settled_number:
                    self._settled.add(task.end_number)
        self._settle_up_to(self.settled_number)
        self.notify()

    def _settle_up_to(self, number):
        """Count ends as settled up to a number, and what follows on it."""
        while number + 1 in self._settled:
            number += 1
        self.settled_number = number
        self._settled = {other for other in self._settled if other > number}

    def reset_numbers(self):
        """Begin with the ends of a new boot of the worker."""
        self.settled_number = 0
        self._settled.clear()
        for task in self._tasks.values():
            task.end_number = 0

    def take_look(self, look, *, sent_s, now_s):
        """Bring the table in line with what a worker lists.

        :param look: A :class:`radishlanding.worker.Look`.
        :param sent_s: When it was asked for, on the boot clock.
        :param now_s: The boot clock.
        """
        listed = set()
        for row in look.running:
            task = self._find(row)
            listed.add(task.key)
            task.checkpoint = row.checkpoint or task.checkpoint
            task.progress = row.progress
            task.watch.observe(
                row.progress,
                pace_percent=task.pace_percent or 0,
                now_s=now_s,
            )
            task.gauge = row.gauge
            task.gauge_s = now_s
            task.is_listed = True
            if not task.is_confirmed:
                task.is_confirmed = True
                task.confirmed_s = now_s
        if look.ended:
            # The worker has forgotten what an earlier agent settled.
            first = min(row.number for row in look.ended)
            self._settle_up_to(max(self.settled_number, first - 1))
        for row in look.ended:
            if row.number <= self.settled_number:
                continue
            if row.number in self._settled:
                continue
            task = self._find(row)
            listed.add(task.key)
            task.end_number = row.number
            self.end(
                task,
                row.kind,
                reason=row.reason,
                number=row.number,
                checkpoint=row.checkpoint,
            )
        for task in self.active():
            if (
                task.key not in listed
                and task.is_confirmed
                and task.confirmed_s < sent_s
            ):
                self._end_unlisted(task)

    def _end_unlisted(self, task):
        """Note the end of an attempt that a worker does not have."""
        if task.given_up and not task.is_listed:
            self.end(task, EndKind.NOT_RUN, reason=task.given_up)
        else:
            self.end(task, EndKind.INTERRUPTED, reason="unknown to the worker")

    def _find(self, row):
        task = self._tasks.get((row.task_id, row.attempt))
        if task is None:
            task = TaskAttempt(
                task_id=row.task_id,
                attempt=row.attempt,
                is_confirmed=True,
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
