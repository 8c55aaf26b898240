"""Steps for learned run times, which play the load of a queue."""

import copy
import math
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import CallerEstimates
from radishlanding.policy import LearnedRunTimes
from radishlanding.policy import RunTimeRow
from radishlanding.store import compress
from radishlanding.store import pack
from radishlanding.workflow import Step
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

SEED = 7
# Relative deviation of the run times of one image, and of siblings.
STEP_SPREAD, SIBLING_SPREAD = 0.4, 0.15
MAX_ESTIMATE_ERROR = 0.9
# Share of its estimated speed below which an attempt counts as stuck.
STUCK_SPEED_SHARE = 0.25
TASKS = 8


def play_step(rng, number, *, images, factor=1.0):
    """Return a workflow of one step, and the true run times of its tasks."""
    image = number % images
    median_ms = 1500 * 1.6**image * factor
    run_ms = rng.lognormvariate(math.log(median_ms), STEP_SPREAD)
    off = rng.uniform(-MAX_ESTIMATE_ERROR, MAX_ESTIMATE_ERROR)
    step = Step(
        count=TASKS,
        needs=NEEDS,
        estimated_ms=max(1, int(run_ms * (1 + off))),
        image=f"image-{image}",
    )
    workflow = make_workflow([step], name=f"{number:016x}")
    return workflow, [
        run_ms * rng.lognormvariate(0, SIBLING_SPREAD) for _ in range(TASKS)
    ]


def _observe(context, workflow, tasks_ms, part):
    for run_ms in tasks_ms:
        # Progress is in whole percents at both ends.
        run_ms *= 1 + 0.005 / part
        context.run_times.observe(workflow, 0, run_ms=run_ms, weight=part)


def _estimate_ms(context, workflow):
    return context.run_times.estimate(workflow, 0).run_ms


@when(
    "{count:d} steps of {images:d} images have done {tasks:d} times {part:f} "
    "of a task"
)
def _play(context, count, images, tasks, part):
    context.rng, context.images = random.Random(SEED), images
    context.run_times, context.steps = LearnedRunTimes(), []
    for number in range(count):
        workflow, tasks_ms = play_step(context.rng, number, images=images)
        _observe(context, workflow, tasks_ms[:tasks], part)
        found = context.run_times.estimate(workflow, 0)
        context.steps.append((workflow, tasks_ms, found))
        if not tasks:
            # It runs afterwards, so that the next steps learn from it.
            _observe(context, workflow, tasks_ms, 1.0)


@then("the error of the steps' means is at most {share:g} of the callers'")
def _errors(context, share):
    learned = callers = 0.0
    for workflow, tasks_ms, found in context.steps:
        mean = sum(map(math.log, tasks_ms)) / TASKS
        learned += abs(math.log(found.run_ms) - mean)
        callers += abs(math.log(workflow.steps[0].estimated_ms) - mean)
    assert learned <= share * callers, learned / callers


@then("{low:d} to {high:d} % of the run times are within the stated spread")
def _spread(context, low, high):
    within = [
        abs(math.log(run_ms / found.run_ms))
        <= math.log1p(found.spread**2) ** 0.5
        for _, tasks_ms, found in context.steps
        for run_ms in tasks_ms
    ]
    assert low <= 100 * sum(within) / len(within) <= high, sum(within)


@then("no more healthy tasks than by the callers' figures count as stuck")
def _stuck(context):
    def count(estimates):
        return sum(
            estimate_ms < STUCK_SPEED_SHARE * run_ms
            for estimate_ms, (_, tasks_ms, _) in estimates
            for run_ms in tasks_ms
        )

    learned = count([(step[2].run_ms, step) for step in context.steps])
    callers = count(
        [(step[0].steps[0].estimated_ms, step) for step in context.steps]
    )
    assert learned <= callers, (learned, callers)


@given(
    "a step of 20 tasks of {run_s:d} s, 2 of which run at a quarter of the "
    "speed"
)
def _slow_step(context, run_s):
    step = Step(count=20, needs=NEEDS, estimated_ms=5400, image="render")
    context.workflow, context.run_times = (
        make_workflow([step]),
        LearnedRunTimes(),
    )
    context.tasks_ms = [4000 * run_s] * 2 + [1000 * run_s] * 18


@then("its estimate is the caller's")
def _callers(context):
    found = context.run_times.estimate(context.workflow, 0)
    assert found == CallerEstimates().estimate(context.workflow, 0)
    assert found.spread == 0.9 and not found.samples


@when("each of its tasks does a tenth of its work {times:d} times")
def _tenths(context, times):
    _observe(context, context.workflow, context.tasks_ms * times, 0.1)


@then("its run time is estimated within {percent:d} % of {run_s:d} s")
def _estimated(context, percent, run_s):
    found = _estimate_ms(context, context.workflow) / 1000 / run_s
    assert abs(found - 1) < percent / 100, found


@when("{count:d} more steps take three times as long")
def _changed(context, count):
    context.more = [
        play_step(context.rng, 9000 + number, images=context.images, factor=3)
        for number in range(count + 50)
    ]
    for workflow, tasks_ms in context.more[:count]:
        _observe(context, workflow, tasks_ms, 1.0)


@then("further ones are estimated within {percent:d} %")
def _learned_again(context, percent):
    # The median of many, as a single step differs from its image.
    ratios = sorted(
        _estimate_ms(context, workflow) / tasks_ms[0]
        for workflow, tasks_ms in context.more[-50:]
    )
    assert abs(ratios[25] - 1) < percent / 100, ratios[25]


def _counts(context, number):
    """Return whether a step is counted as one of its tasks ends."""
    step = Step(count=TASKS, needs=NEEDS, image="render")
    workflow = make_workflow([step], name=f"{number:016x}")
    return context.run_times.observe(workflow, 0, run_ms=3000, weight=1)


@when("{steps:d} steps run at once and each ends {tasks:d} tasks in turn")
def _at_once(context, steps, tasks):
    context.run_times = LearnedRunTimes()
    context.counted = sum(
        _counts(context, number)
        for _ in range(tasks)
        for number in range(steps)
    )


@then("{count:d} times a step was counted")
def _counted(context, count):
    assert context.counted == count, context.counted


@when("{steps:d} more steps run")
def _more_steps(context, steps):
    for number in range(steps):
        assert _counts(context, 10_000 + number)


@then("the first of them is not remembered any more")
def _not_remembered(context):
    assert _counts(context, 0)


@when("another process restores the rows and two that no run time has")
def _restored(context):
    context.other = LearnedRunTimes()
    bad = [
        RunTimeRow(name="image/image-8", weight=math.inf),
        RunTimeRow(name="image/image-9", weight=9, mean=1e9),
    ]
    context.other.restore([*bad, *copy.deepcopy(context.run_times.rows())])
    # What a process has itself goes before what it reads.
    name = context.other.rows()[-1].name
    context.other.restore([RunTimeRow(name=name, weight=1)])


@then(
    "both hold {count:d} rows, {images:d} images and the queue among them, of "
    "at most {size_kb:d} kB"
)
def _rows(context, count, images, size_kb):
    rows = context.other.rows()
    assert len(rows) == count and rows == context.run_times.rows()
    shared = [row for row in rows if not row.name.startswith("step/")]
    assert len(shared) == images + 1, shared
    assert len(compress(pack(rows))) <= size_kb * 1000


@then("both estimate alike")
def _alike(context):
    for workflow, _, _ in context.steps:
        found = context.other.estimate(workflow, 0)
        assert found == context.run_times.estimate(workflow, 0)
