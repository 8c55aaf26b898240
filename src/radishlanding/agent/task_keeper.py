"""Runs the tasks of a VM through its worker."""

import time

import trio

from radishlanding.agent.agent_task import AgentTask
from radishlanding.observe import EventLog
from radishlanding.task import TaskPhase
from radishlanding.vm import NoRoom
from radishlanding.worker import WorkerRefused
from radishlanding.worker import WorkerUnavailable

POLL_PAUSE_S = 0.5
RENEW_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.3
FORGET_AFTER_S = 30.0
LAPSE_MARGIN_S = 2.5
FROZEN_SHARE = 0.0
FULL_SHARE = 1.0

_PHASES = {
    "done": TaskPhase.DONE,
    "failed": TaskPhase.FAILED,
    "stopped": TaskPhase.STOPPED,
}
_log = EventLog("radishlanding.agent")


class TaskKeeper:
    """Hold every assignment of the VM from its start to its settlement."""

    __slots__ = (
        "_changed",
        "_forget_s",
        "_guard",
        "_ledger",
        "_lease",
        "_nursery",
        "_tasks",
        "_worker",
        "_worker_lease_s",
        "is_closed",
    )

    def __init__(self, *, worker, ledger, lease, guard, worker_lease_s):
        """Prepare; :meth:`adopt` and then :meth:`run` work.

        :param worker: A :class:`radishlanding.worker.Worker`.
        :param ledger: The VM's :class:`radishlanding.vm.Ledger`.
        :param lease: The :class:`radishlanding.vm.VmLease`.
        :param guard: A :class:`StartGuard`.
        :param worker_lease_s: Greatest lease of a task, in seconds.
        """
        self._worker = worker
        self._ledger = ledger
        self._lease = lease
        self._guard = guard
        self._worker_lease_s = worker_lease_s
        self._tasks = {}
        self._forget_s = {}
        self._nursery = None
        self._changed = trio.Event()
        self.is_closed = False

    def statuses(self):
        """Return the status of each assignment that is not settled."""
        return [task.status for task in self._tasks.values()]

    async def wait_changed(self):
        """Wait until a task has ended."""
        await self._changed.wait()

    async def adopt(self):
        """Take over what the worker already runs.

        :raises WorkerUnavailable: The worker gave no answer.
        """
        for item in await self._worker.list():
            task = AgentTask(
                task_id=item.task_id, epoch=item.epoch, needs=item.needs
            )
            task.status.checkpoint = item.checkpoint
            self._tasks[item.task_id] = task
            if item.state == "running":
                self._ledger.adopt(holder=item.task_id, needs=item.needs)
                await self._worker.throttle(*task.key, share=FULL_SHARE)
            else:
                task.end(_PHASES[item.state], reason=item.reason)
        _log.info("tasks_adopted", tasks=len(self._tasks))

    async def run(self):
        """Renew, watch and checkpoint the tasks."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._renew)
            nursery.start_soon(self._poll)
            nursery.start_soon(self._guard_lease)

    async def start(self, start, *, now_ms):
        """Start a task.

        :param start: A :class:`radishlanding.message.StartTask`.
        :param now_ms: Clock of the agent, in milliseconds.
        :returns: An empty string, or why it was refused.
        """
        known = self._tasks.get(start.task_id)
        if known is not None and known.status.epoch == start.epoch:
            return ""
        if known is not None and not known.has_ended:
            return "an older assignment is still here"
        if self.is_closed:
            return "the agent is stopping"
        problem = self._guard.start_problem(start, now_ms=now_ms)
        if problem:
            return problem
        try:
            self._ledger.take(holder=start.task_id, needs=start.needs)
        except NoRoom as exc:
            return f"no room: {exc}"
        task = AgentTask.from_start(start)
        self._tasks[start.task_id] = task
        task.is_busy = True
        try:
            await self._run_on_worker(task)
        finally:
            task.is_busy = False
        if task.status.phase == TaskPhase.STOPPED:
            del self._tasks[start.task_id]
            return task.status.reason
        return ""

    async def _run_on_worker(self, task):
        """Run a task; without an answer its assignment stays unsure."""
        task.is_unsure = True
        lease_s = min(self._worker_lease_s, self._lease.remaining_s())
        if lease_s <= 0:
            return
        try:
            await self._worker.run(task.start, lease_s=lease_s)
            task.is_unsure = False
        except WorkerRefused as exc:
            self._end(task, TaskPhase.STOPPED, reason=f"worker: {exc}")
        except WorkerUnavailable as exc:
            _log.warning("run_unanswered", task=task.key[0], reason=exc)

    def _end(self, task, phase, *, reason=""):
        if task.has_ended:
            return
        task.end(phase, reason=reason)
        self._ledger.give_back(holder=task.status.task_id)
        self._changed.set()
        self._changed = trio.Event()
        _log.info(
            "task_ended",
            task=task.status.task_id,
            epoch=task.status.epoch,
            phase=phase,
            reason=reason,
        )

    def _running(self):
        return [task for task in self._tasks.values() if not task.has_ended]

    async def _renew(self):
        while True:
            await trio.sleep(RENEW_PAUSE_S)
            lease_s = min(self._worker_lease_s, self._lease.remaining_s())
            keys = [
                task.key
                for task in self._running()
                if task.status.phase == TaskPhase.RUNNING
            ]
            if keys and lease_s > 0:
                try:
                    await self._worker.renew(keys, lease_s=lease_s)
                except (WorkerUnavailable, WorkerRefused) as exc:
                    _log.warning("renew_failed", reason=exc)

    async def _poll(self):
        while True:
            await trio.sleep(POLL_PAUSE_S)
            # A run may be under way while the list is made; only what the
            # worker had confirmed before can be missed in it.
            asked = [
                (task, task.is_unsure)
                for task in self._tasks.values()
                if not task.is_busy
            ]
            try:
                listed = await self._worker.list()
            except (WorkerUnavailable, WorkerRefused) as exc:
                _log.warning("list_failed", reason=exc)
                continue
            items = {(item.task_id, item.epoch): item for item in listed}
            for task, was_unsure in asked:
                await self._compare(task, items.get(task.key), was_unsure)
            await self._forget_settled(items)

    async def _compare(self, task, item, was_unsure):
        """Bring an assignment in line with what the worker says."""
        if task.has_ended or task.is_busy:
            return
        if item is None:
            if task.is_unsure:
                await self._run_on_worker(task)
            elif not was_unsure:
                self._end(
                    task, TaskPhase.STOPPED, reason="unknown to the worker"
                )
            return
        task.is_unsure = False
        if item.state != "running":
            self._end(task, _PHASES[item.state], reason=item.reason)
        elif (
            task.checkpoint_every_s
            and time.monotonic() > task.checkpoint_due_s
        ):
            task.checkpoint_due_s = time.monotonic() + task.checkpoint_every_s
            self._nursery.start_soon(self._checkpoint, task)

    async def _checkpoint(self, task):
        try:
            task.status.checkpoint = await self._worker.checkpoint(*task.key)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("checkpoint_failed", task=task.key[0], reason=exc)

    async def _forget_settled(self, items):
        """Drop settled tasks from the worker, some time after.

        A run that was sent twice may come late; the worker refuses it as
        long as it remembers the assignment.
        """
        now_s = time.monotonic()
        for key, due_s in list(self._forget_s.items()):
            if key not in items:
                del self._forget_s[key]
            elif due_s < now_s:
                try:
                    await self._worker.forget(*key)
                except (WorkerUnavailable, WorkerRefused) as exc:
                    _log.debug("forget_failed", task=key[0], reason=exc)

    async def _guard_lease(self):
        """Stop the tasks before the VM lease lapses."""
        while True:
            await trio.sleep(RETRY_PAUSE_S)
            remaining_s = self._lease.remaining_s()
            if 0 < remaining_s < LAPSE_MARGIN_S:
                for task in self._running():
                    self.evict(task.key, reason="VM lease lapses")
            elif remaining_s == 0 and self._lease.was_held:
                for task in self._running():
                    self.stop(task.key, reason="VM lease lapsed")

    def _find(self, key):
        task = self._tasks.get(key[0])
        if task is None or task.key != key or task.has_ended or task.is_busy:
            return None
        return task

    def evict(self, key, *, reason):
        """Checkpoint a task and stop it, in the background.

        :param key: Task and epoch.
        :param reason: Why, for the report.
        """
        task = self._find(key)
        if task is not None:
            task.is_busy = True
            self._nursery.start_soon(self._evict, task, reason)

    def stop(self, key, *, reason):
        """Stop a task without a checkpoint, in the background."""
        task = self._find(key)
        if task is not None:
            task.is_busy = True
            self._nursery.start_soon(self._stop, task, reason)

    async def _evict(self, task, reason):
        """Freeze the task, so that nothing runs after its checkpoint."""
        try:
            await self._worker.throttle(*task.key, share=FROZEN_SHARE)
            checkpoint = await self._worker.checkpoint(*task.key)
            task.status.checkpoint = checkpoint
            task.status.phase = TaskPhase.STOPPING
            await self._stop_surely(task)
            self._end(task, TaskPhase.CHECKPOINTED, reason=reason)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("evict_failed", task=task.key[0], reason=exc)
            await self._unfreeze(task)
        finally:
            task.is_busy = False

    async def _unfreeze(self, task):
        task.status.phase = TaskPhase.RUNNING
        try:
            await self._worker.throttle(*task.key, share=FULL_SHARE)
        except (WorkerUnavailable, WorkerRefused) as exc:
            _log.warning("unfreeze_failed", task=task.key[0], reason=exc)

    async def _stop(self, task, reason):
        try:
            task.status.phase = TaskPhase.STOPPING
            await self._stop_surely(task)
            self._end(task, TaskPhase.STOPPED, reason=reason)
        except WorkerRefused as exc:
            _log.warning("stop_refused", task=task.key[0], reason=exc)
            task.status.phase = TaskPhase.RUNNING
        finally:
            task.is_busy = False

    async def _stop_surely(self, task):
        """Ask until the worker says that the task has stopped."""
        while True:
            try:
                await self._worker.stop(*task.key)
                return
            except WorkerUnavailable as exc:
                _log.warning("stop_unanswered", task=task.key[0], reason=exc)
            await trio.sleep(RETRY_PAUSE_S)

    def settle(self, keys):
        """Drop assignments whose end is on record.

        :param keys: Pairs of task and epoch.
        """
        for key in keys:
            task = self._tasks.get(key[0])
            if task is not None and task.key == key and task.has_ended:
                del self._tasks[key[0]]
                self._forget_s[key] = time.monotonic() + FORGET_AFTER_S
