"""Handles job requests: submission, listing, cancellation, decisions."""

import collections

from radishlanding.config import Kind
from radishlanding.config import Urgency
from radishlanding.journal import Fenced
from radishlanding.message import JobAnswer
from radishlanding.message import JobSummary
from radishlanding.message import StateCount
from radishlanding.message import TaskSummary
from radishlanding.request import Outcome
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.task import Job
from radishlanding.task import TaskState

MAX_LISTED_JOBS = 1000


class JobHandler:
    """Handle the requests about the jobs of one shard."""

    __slots__ = ("_owner",)

    def __init__(self, *, owner):
        """Create a handler.

        :param owner: The :class:`ShardOwner` of the shard.
        """
        self._owner = owner

    async def submit(self, message):
        """Record a job; submitting the same job again has no effect.

        :param message: A :class:`radishlanding.message.SubmitJob`.
        :returns: A :class:`radishlanding.message.JobAnswer`.
        """
        existing = self._owner.state.jobs.get(message.job_id)
        if existing is not None:
            return self._answer_duplicate(existing, message)
        reason = self._rejection_reason(message)
        if reason:
            return _answer(Outcome.NOT_RUN, reason)
        job = self._make_job(message)
        try:
            recorded = await self._owner.commit.submit(Change(jobs=[job]))
        except Fenced:
            return _answer(Outcome.UNKNOWN, "the shard has a new owner")
        if not recorded:
            return self._answer_duplicate(
                self._owner.state.jobs[message.job_id], message
            )
        self._owner.request_placement()
        return _answer(Outcome.DONE, "")

    def _answer_duplicate(self, job, message):
        is_same = (
            job.organisation == message.organisation
            and job.template == message.template
            and job.tasks == message.tasks
            and job.parameters == message.parameters
        )
        if is_same:
            return _answer(Outcome.DONE, "already on record")
        return _answer(Outcome.NOT_RUN, "another job has this identity")

    def _rejection_reason(self, message):
        """Return why a job cannot be accepted, or an empty string."""
        document = self._owner.cfg_watch.document
        template = document.templates.get(message.template)
        if template is None or template.organisation != message.organisation:
            return (
                f"organisation {message.organisation} has no template "
                f"{message.template}"
            )
        if template.kind != Kind.BATCH:
            return f"template {message.template} is not a batch template"
        if not 1 <= message.tasks <= template.max_tasks:
            return f"tasks must be from 1 to {template.max_tasks}"
        return self._capacity_problem(template)

    def _capacity_problem(self, template):
        """Return why a task would fit no connected VM, or an empty string.

        Without a connected VM in the template's zones it is accepted.
        """
        reasons = []
        for session in self._owner.sessions.values():
            if session.zone not in template.zones:
                continue
            if session.capacity.holds(template.needs):
                return ""
            reasons.append(f"{session.vm} holds {session.capacity}")
        if not reasons:
            return ""
        return f"needs {template.needs}, but " + ", ".join(reasons)

    def _make_job(self, message):
        template = self._owner.cfg_watch.document.templates[message.template]
        return Job(
            job_id=message.job_id,
            organisation=message.organisation,
            template=message.template,
            tasks=message.tasks,
            parameters=message.parameters,
            needs=template.needs,
            is_idempotent=template.idempotent,
            is_urgent=template.urgency == Urgency.URGENT,
            zones=list(template.zones),
            checkpoint_every_s=template.checkpoint_every_s,
        )

    def find(self, job_id):
        """Return the newest jobs, or one job with its tasks.

        :param job_id: Identity of the job; an empty string for a summary of
            each of the newest jobs.
        :returns: A :class:`radishlanding.message.JobAnswer`.
        """
        state = self._owner.state
        if not job_id:
            newest = list(state.jobs.values())[-MAX_LISTED_JOBS:]
            jobs = [self._summary(job) for job in newest]
            return _answer(Outcome.DONE, "", jobs=jobs)
        job = state.jobs.get(job_id)
        if job is None:
            return _answer(Outcome.NOT_RUN, f"no job {job_id}")
        summary = self._summary(job)
        summary.tasks = [
            TaskSummary(
                task_id=task.task_id,
                state=str(task.state),
                epoch=task.epoch,
                vm=task.vm,
                checkpoint=task.checkpoint,
                reason=task.reason,
            )
            for task in state.tasks_of(job_id)
        ]
        return _answer(Outcome.DONE, "", jobs=[summary])

    def _summary(self, job):
        tasks = self._owner.state.tasks_of(job.job_id)
        counts = collections.Counter(str(task.state) for task in tasks)
        return JobSummary(
            job_id=job.job_id,
            organisation=job.organisation,
            template=job.template,
            states=[
                StateCount(state=state, count=count)
                for state, count in sorted(counts.items())
            ],
        )

    async def cancel(self, job_id):
        """Cancel the tasks of a job that have not ended.

        :returns: A :class:`radishlanding.message.JobAnswer`.
        """
        state = self._owner.state
        if job_id not in state.jobs:
            return _answer(Outcome.NOT_RUN, f"no job {job_id}")
        try:
            while True:
                active_tasks = [
                    task
                    for task in state.tasks_of(job_id)
                    if task.state in (TaskState.QUEUED, TaskState.ASSIGNED)
                ]
                if not active_tasks:
                    break
                # Nothing is recorded if any task changes meanwhile; retry.
                await self._owner.commit.submit(
                    Change(
                        transitions=[
                            transitions.cancel(task) for task in active_tasks
                        ]
                    )
                )
        except Fenced:
            return _answer(Outcome.UNKNOWN, "the shard has a new owner")
        return self.find(job_id)

    async def decide(self, task_id, *, again):
        """Resolve a lost task as an operator decided.

        :param task_id: Identity of the task.
        :param again: True to queue it again, false to cancel it.
        :returns: A :class:`radishlanding.message.JobAnswer`.
        """
        task = self._owner.state.tasks.get(task_id)
        if task is None or task.state != TaskState.LOST:
            return _answer(Outcome.NOT_RUN, f"no lost task {task_id}")
        state = TaskState.QUEUED if again else TaskState.CANCELLED
        transition = transitions.end(
            task, state, reason="decided by an operator"
        )
        try:
            recorded = await self._owner.commit.submit(
                Change(transitions=[transition])
            )
        except Fenced:
            return _answer(Outcome.UNKNOWN, "the shard has a new owner")
        if not recorded:
            return _answer(Outcome.NOT_RUN, "the task has changed")
        self._owner.request_placement()
        return self.find(task.job_id)


def _answer(outcome, reason, *, jobs=()):
    return JobAnswer(outcome=outcome, reason=reason, jobs=list(jobs))
