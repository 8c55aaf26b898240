"""Steps about workflows and their board."""

import re

from behave import given
from behave import then
from behave import when

from radishlanding.vm import Capacity
from radishlanding.workflow import Assignment
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import Workflow
from radishlanding.workflow import WorkflowRegistry

NAME = "0123456789abcdef"
NEEDS = Capacity(millicores=500, memory_mb=100)


def make_workflow(steps, *, name=NAME, **fields):
    """Return a workflow of a queue."""
    return Workflow(
        workflow_id=name,
        queue="q",
        pool="order-desk",
        spec="work",
        steps=steps,
        **fields,
    )


def _entry(**changes):
    return LogEntry(commit_id="c", made_ms=1000, **changes)


def _accept(context, workflow):
    context.board = WorkflowRegistry()
    context.board.apply(_entry(accepted=[workflow]))


def _record(context):
    return context.board.workflows[NAME]


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


def _short(task):
    return task.task_id.partition(".")[2]


@given("a workflow of steps a ({count:d} tasks), b (1 task after a)")
def _two_steps(context, count):
    steps = [
        Step(count=count, needs=NEEDS),
        Step(count=1, needs=NEEDS, after=[0]),
    ]
    _accept(context, make_workflow(steps))


@given("a workflow of steps a ({count:d} task) with {limit:d} attempts")
def _limited(context, count, limit):
    steps = [Step(count=count, needs=NEEDS)]
    _accept(context, make_workflow(steps, max_attempts=limit))


@given("a workflow of steps a ({count:d} task)")
@given("a workflow of steps a ({count:d} tasks)")
def _one_step(context, count):
    _accept(context, make_workflow([Step(count=count, needs=NEEDS)]))


@given("a gang of {count:d} tasks")
def _a_gang(context, count):
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


def _run(context, place):
    name = f"{NAME}.{place}"
    _, task = context.board.find(name)
    attempt = (task.attempt if task else 0) + 1
    assignment = Assignment(task_id=name, attempt=attempt, vm="vm1", boot="b1")
    context.board.apply(_entry(assignments=[assignment]))
    return attempt


def _end(context, place, attempt, kind, checkpoint=""):
    end = TaskEnd(
        task_id=f"{NAME}.{place}",
        attempt=attempt,
        kind=EndKind(kind),
        checkpoint=checkpoint,
    )
    context.board.apply(_entry(ends=[end]))


@when("task {place} runs and ends {kind:w} with checkpoint {checkpoint}")
def _runs_and_saves(context, place, kind, checkpoint):
    _end(context, place, _run(context, place), kind, checkpoint)


@when("task {place} runs and ends {kind:w}")
def _runs_and_ends(context, place, kind):
    _end(context, place, _run(context, place), kind)


@when("tasks {places} run")
@when("task {places} runs")
def _runs(context, places):
    for place in re.findall(r"\d+\.\d+\.\d+", places):
        _run(context, place)


@when("attempt {attempt:d} of {place} ends {kind:w}")
def _attempt_ends(context, attempt, place, kind):
    _end(context, place, attempt, kind)


@when("attempt {attempt:d} of {place} ends {kind:w} with checkpoint {saved}")
def _attempt_ends_saved(context, attempt, place, kind, saved):
    _end(context, place, attempt, kind, saved)


@when("the workflow is cancelled by its caller")
def _is_cancelled(context):
    context.board.apply(_entry(cancelled=[NAME]))


@when("the board is pruned of what ended before it")
def _pruned_before(context):
    context.board.prune(before_ms=1000)


@when("the board is pruned of what ended up to now")
def _pruned(context):
    context.board.prune(before_ms=1001)


@then("the tasks that may start are {names}")
def _may_start(context, names):
    found = ", ".join(_short(task) for task in _startable(context))
    assert found == names, found


@then("the workflow is {phase:w}")
def _phase(context, phase):
    if phase == "unknown":
        assert NAME not in context.board.workflows
        return
    assert _record(context).phase == phase, _record(context).phase


@then("the workflow is {phase:w} and its task may start {again:w}")
def _phase_and_again(context, phase, again):
    assert _record(context).phase == phase, _record(context).phase
    assert bool(_startable(context)) == (again == "yes")


@then("its task may start again")
def _again(context):
    assert _startable(context)


@then("{count:d} attempt counts on the VM")
@then("{count:d} attempts count on the VM")
def _count(context, count):
    assert len(context.board.tasks_on("vm1")) == count


@then("task {place} resumes from {checkpoint}")
def _resumes(context, place, checkpoint):
    _, task = context.board.find(f"{NAME}.{place}")
    assert task.checkpoint == checkpoint, task


@then("no task may start until the others have ended")
def _none_may(context):
    assert not _startable(context)


@then("all {count:d} may start, from {checkpoint}")
def _all_may(context, count, checkpoint):
    found = [task.checkpoint for task in _startable(context)]
    assert found == [checkpoint] * count, found
