"""Steps about workflows and their registry."""

import re

from behave import given
from behave import then
from behave import when

from radishlanding.vm import Capacity
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import QueueRef
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId
from radishlanding.workflow import Workflow
from radishlanding.workflow import WorkflowRegistry

NAME = "0123456789abcdef"
NEEDS = Capacity(millicores=500, memory_mb=100)
QUEUE = QueueRef(name="q", base_url="h/")


def make_workflow(steps, *, name=NAME, queue="q", **fields):
    """Return a workflow, of queue q unless another one is named."""
    return Workflow(
        workflow_id=name,
        queue=queue,
        pool="order-desk",
        spec="work",
        steps=steps,
        **fields,
    )


def _entry(**changes):
    return LogEntry(commit_id="c", made_ms=1000, **changes)


def _accept(context, workflow):
    context.registry = WorkflowRegistry()
    context.registry.apply(_entry(accepted=[workflow]))


def _record(context):
    return context.registry.workflows[NAME]


def _startable(context):
    record = _record(context)
    if record.phase.has_ended:
        return []
    workflow = record.workflow
    return [
        task
        for occurrence in range(workflow.occurrences)
        for number in range(len(workflow.steps))
        if record.is_step_ready(occurrence, number)
        for task in record.pending_tasks(occurrence, number)
    ]


def _short_id(task):
    return task.task_id.partition(".")[2]


@given("a workflow of steps a ({count:d} tasks), b (1 task after a)")
def _two_steps(context, count):
    steps = [
        Step(count=count, needs=NEEDS),
        Step(count=1, needs=NEEDS, after=[0]),
    ]
    _accept(context, make_workflow(steps))


@given("a workflow of steps a ({count:d} task) with {limit:d} attempts")
@given("a workflow of steps a ({count:d} tasks) with {limit:d} attempts")
def _limited_attempts(context, count, limit):
    steps = [Step(count=count, needs=NEEDS)]
    _accept(context, make_workflow(steps, max_attempts=limit))


@given("a workflow of steps a ({count:d} task)")
@given("a workflow of steps a ({count:d} tasks)")
def _one_step(context, count):
    _accept(context, make_workflow([Step(count=count, needs=NEEDS)]))


@given("a gang of {count:d} tasks")
def _gang(context, count):
    _limited_gang(context, count, 0)


@given("a gang of {count:d} tasks with {limit:d} attempts")
def _limited_gang(context, count, limit):
    steps = [Step(count=count, needs=NEEDS, gang=True)]
    _accept(context, make_workflow(steps, max_attempts=limit))


@given("a standing workflow of 1 task with 1 attempt")
def _standing(context):
    steps = [Step(count=1, needs=NEEDS, standing=True)]
    _accept(context, make_workflow(steps, max_attempts=1))


@given("a workflow of 2 occurrences of 1 task")
def _repeated(context):
    steps = [Step(count=1, needs=NEEDS)]
    _accept(context, make_workflow(steps, repeats=2, interval_ms=1000))


def _run(context, short_id, *, starts=True):
    task_id = f"{NAME}.{short_id}"
    _, task = context.registry.find(task_id)
    attempt = (task.attempt if task else 0) + 1
    assignment = Assignment(
        task_id=task_id, attempt=attempt, vm="vm1", boot="b1"
    )
    context.registry.apply(_entry(assignments=[assignment]))
    if starts:
        context.registry.apply(_entry(started=[NAME]))
    return attempt


def _end(context, short_id, attempt, kind, checkpoint=""):
    end = TaskEnd(
        task_id=f"{NAME}.{short_id}",
        attempt=attempt,
        kind=EndKind(kind),
        checkpoint=checkpoint,
    )
    context.registry.apply(_entry(ends=[end]))


@when("task {short_id} runs and ends {kind:w} with checkpoint {checkpoint}")
def _run_with_checkpoint(context, short_id, kind, checkpoint):
    _end(context, short_id, _run(context, short_id), kind, checkpoint)


@when("task {short_id} runs and ends {kind:w}")
def _run_to_end(context, short_id, kind):
    attempt = _run(context, short_id, starts=kind != EndKind.NOT_RUN)
    _end(context, short_id, attempt, kind)


@when("tasks {short_ids} run")
@when("task {short_ids} runs")
def _run_all(context, short_ids):
    for short_id in re.findall(r"\d+\.\d+\.\d+", short_ids):
        _run(context, short_id)


@when("attempt {attempt:d} of {short_id} ends {kind:w}")
def _end_attempt(context, attempt, short_id, kind):
    _end(context, short_id, attempt, kind)


@when(
    "attempt {attempt:d} of {short_id} ends {kind:w} with checkpoint "
    "{checkpoint}"
)
def _end_with_checkpoint(context, attempt, short_id, kind, checkpoint):
    _end(context, short_id, attempt, kind, checkpoint)


@when("the workflow is cancelled by its caller")
def _cancel(context):
    context.registry.apply(_entry(cancelled=[NAME]))


@when("the workflows that ended before it are pruned")
def _prune_earlier(context):
    context.registry.prune(before_ms=1000)


@when("the workflows that have ended are pruned")
def _prune(context):
    context.registry.prune(before_ms=1001)


@then("the tasks that may start are {short_ids}")
def _startable_tasks(context, short_ids):
    found = ", ".join(_short_id(task) for task in _startable(context))
    assert found == short_ids, found


@then("the workflow is {phase:w}")
def _phase(context, phase):
    if phase == "unknown":
        assert NAME not in context.registry.workflows
        return
    assert _record(context).phase == phase, _record(context).phase


@then("the workflow is {phase:w} and its task may start: {expected:w}")
def _phase_and_task(context, phase, expected):
    assert _record(context).phase == phase, _record(context).phase
    assert bool(_startable(context)) == (expected == "yes")


@then("its task may start again")
def _task_startable(context):
    assert _startable(context)


@then("{count:d} attempt is assigned to the VM")
@then("{count:d} attempts are assigned to the VM")
def _assigned_count(context, count):
    assert len(context.registry.tasks_on("vm1")) == count


@then("task {short_id} resumes from {checkpoint}")
def _resume(context, short_id, checkpoint):
    _, task = context.registry.find(f"{NAME}.{short_id}")
    assert task.checkpoint == checkpoint, task


@then("no task may start")
def _none_startable(context):
    assert not _startable(context)


@then("all {count:d} tasks may start from {checkpoint}")
def _all_startable(context, count, checkpoint):
    found = [task.checkpoint for task in _startable(context)]
    assert found == [checkpoint] * count, found


@then("the identity {text} is parsed once")
def _parsed_once(_context, text):
    parsed = TaskId.parse(text)
    assert parsed == (NAME, 1, 2, 3), parsed
    assert TaskId.parse(str(text)) is parsed


@then("the identity {text} is refused each time")
def _refused_each_time(_context, text):
    for _ in range(2):
        try:
            TaskId.parse(text)
        except ValueError:
            continue
        raise AssertionError("it was parsed")
