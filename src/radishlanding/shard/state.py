"""State of a shard, as recorded in its journal."""

from radishlanding.request import Claim
from radishlanding.shard.snapshot import Snapshot
from radishlanding.store import pack
from radishlanding.store import unpack
from radishlanding.task import Job
from radishlanding.task import Task
from radishlanding.task import TaskState

# Keeps chunks of jobs with short parameters below a megabyte.
MAX_CHUNK_ITEMS = 1500
CLAIM_RETENTION_S = 24 * 3600.0
JOB_RETENTION_S = 7 * 24 * 3600.0


class ShardState:
    """Jobs, tasks and claims of one shard."""

    __slots__ = (
        "_queues",
        "_tasks_by_vm",
        "claims",
        "ended_s",
        "jobs",
        "last_made_s",
        "tasks",
    )

    def __init__(self):
        """Create an empty state."""
        self.jobs: dict[str, Job] = {}
        self.tasks: dict[str, Task] = {}
        self.claims: dict[str, Claim] = {}
        self.ended_s: dict[str, float] = {}
        self.last_made_s = 0.0
        self._queues: dict[tuple[bool, str], dict[str, None]] = {}
        self._tasks_by_vm: dict[str, set[str]] = {}

    def apply(self, segment):
        """Apply a recorded segment.

        :param segment: A :class:`radishlanding.journal.Segment`.
        """
        self.last_made_s = segment.made_s
        for job in segment.jobs:
            self.jobs[job.job_id] = job
            for index in range(job.tasks):
                task_id = f"{job.job_id}/{index}"
                task = Task(task_id=task_id, job_id=job.job_id)
                self.tasks[task_id] = task
                self._add_to_index(task)
        for transition in segment.transitions:
            task = self.tasks[transition.task_id]
            self._remove_from_index(task)
            transition.apply(task)
            self._add_to_index(task)
            if task.state.has_ended:
                self.ended_s[task.task_id] = segment.made_s
        for claim in segment.claims:
            self.claims[claim.key] = claim

    def claimed_attempt(self, key):
        """Return the number of a request's claimed attempt, 0 for none."""
        claim = self.claims.get(key)
        return claim.attempt if claim else 0

    def _queue_of(self, task):
        job = self.jobs[task.job_id]
        return self._queues.setdefault((job.is_urgent, job.organisation), {})

    def _add_to_index(self, task):
        if task.state == TaskState.QUEUED:
            self._queue_of(task)[task.task_id] = None
        elif task.state.is_on_vm:
            self._tasks_by_vm.setdefault(task.vm, set()).add(task.task_id)

    def _remove_from_index(self, task):
        self._queue_of(task).pop(task.task_id, None)
        on_vm = self._tasks_by_vm.get(task.vm)
        if on_vm is not None:
            on_vm.discard(task.task_id)
            if not on_vm:
                del self._tasks_by_vm[task.vm]

    def queues(self):
        """Yield urgency, organisation and tasks of each non-empty queue.

        The tasks are an iterator over pairs of task and job, the longest
        queued first.
        """
        for (is_urgent, organisation), queue in self._queues.items():
            if queue:
                tasks = (self.tasks[task_id] for task_id in queue)
                items = ((task, self.jobs[task.job_id]) for task in tasks)
                yield is_urgent, organisation, items

    def busy_vms(self):
        """Return the VMs to which tasks are assigned."""
        return list(self._tasks_by_vm)

    def tasks_on(self, vm):
        """Return the tasks assigned to a VM, by identity."""
        task_ids = sorted(self._tasks_by_vm.get(vm, ()))
        return [self.tasks[task_id] for task_id in task_ids]

    def tasks_of(self, job_id):
        """Return the tasks of a job, by number."""
        job = self.jobs[job_id]
        return [self.tasks[f"{job_id}/{index}"] for index in range(job.tasks)]

    def prune(self):
        """Delete claims and ended jobs that are past their retention.

        A job with a lost task is kept for an operator's decision. Ages are
        taken at the time of the newest segment, not of the clock.
        """
        now_s = self.last_made_s
        for key, claim in list(self.claims.items()):
            if claim.made_s + CLAIM_RETENTION_S < now_s:
                del self.claims[key]
        for job_id in list(self.jobs):
            tasks = self.tasks_of(job_id)
            if all(task.state in _PRUNABLE_STATES for task in tasks) and all(
                self.ended_s.get(task.task_id, now_s) + JOB_RETENTION_S < now_s
                for task in tasks
            ):
                del self.jobs[job_id]
                for task in tasks:
                    del self.tasks[task.task_id]
                    self.ended_s.pop(task.task_id, None)

    def dump(self):
        """Return the encoded state in chunks of at most MAX_CHUNK_ITEMS."""
        items = [
            *(("jobs", job) for job in self.jobs.values()),
            *(("tasks", task) for task in self.tasks.values()),
            *(("claims", claim) for claim in self.claims.values()),
        ]
        chunks = []
        for start in range(0, max(1, len(items)), MAX_CHUNK_ITEMS):
            snapshot = Snapshot(last_made_s=self.last_made_s)
            for field, item in items[start : start + MAX_CHUNK_ITEMS]:
                getattr(snapshot, field).append(item)
            snapshot.ended_s = {
                task.task_id: self.ended_s[task.task_id]
                for task in snapshot.tasks
                if task.task_id in self.ended_s
            }
            chunks.append(pack(snapshot))
        return chunks

    def load(self, chunks):
        """Load the encoded chunks of a snapshot into an empty state."""
        for chunk in chunks:
            snapshot = unpack(Snapshot, chunk)
            self.jobs.update((job.job_id, job) for job in snapshot.jobs)
            for task in snapshot.tasks:
                self.tasks[task.task_id] = task
                self._add_to_index(task)
            self.claims.update((claim.key, claim) for claim in snapshot.claims)
            self.ended_s.update(snapshot.ended_s)
            self.last_made_s = snapshot.last_made_s


_PRUNABLE_STATES = (TaskState.DONE, TaskState.FAILED, TaskState.CANCELLED)
