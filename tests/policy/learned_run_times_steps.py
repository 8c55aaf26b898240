"""Steps for learned run times, which play the load of a queue."""

import copy
import dataclasses
import math
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import CallerEstimates
from radishlanding.policy import LearnedRunTimes
from radishlanding.policy import RunTimeRow
from radishlanding.policy.caller_estimates import CALLER_SPREAD
from radishlanding.store import compress
from radishlanding.store import pack
from radishlanding.workflow import Step
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS

SEED = 7
# Relative deviation of the run times of one image, and of siblings.
STEP_SPREAD = 0.4
SIBLING_SPREAD = 0.15
MAX_ESTIMATE_ERROR = 0.9
# Share of its estimated speed below which an attempt counts as stuck.
STUCK_SPEED_SHARE = 0.25
TASKS = 8
TENTH = 0.1


@dataclasses.dataclass(slots=True, kw_only=True)
class PlayedStep:
    """A workflow of one step, with the true run times of its tasks."""

    workflow: object
    run_ms: float
    tasks_ms: list


def _play_step(rng, number, *, images, factor=1.0):
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
    workflow = make_workflow([step])
    workflow.workflow_id = f"{number:016x}"
    return PlayedStep(
        workflow=workflow,
        run_ms=run_ms,
        tasks_ms=[
            run_ms * rng.lognormvariate(0, SIBLING_SPREAD)
            for _ in range(TASKS)
        ],
    )


# Pairs of a number of tasks and the observed share of the work of each.
STAGES = {
    "has not started": (0, 0.0),
    "has done a tenth of each task": (TASKS, TENTH),
    "has done one of its tasks": (1, 1.0),
    "has done half of its tasks": (TASKS // 2, 1.0),
}


def _observe(run_times, played, tasks, share):
    for run_ms in played.tasks_ms[:tasks]:
        # Whole percents of progress at both ends.
        error = TENTH * TENTH * 0.5 / share
        run_times.observe(
            played.workflow, 0, run_ms=run_ms * (1 + error), weight=share
        )


@given("{count:d} steps of {images:d} images, each of which {stage}")
def _steps(context, count, images, stage):
    rng = random.Random(SEED)
    context.rng, context.images = rng, images
    context.run_times = LearnedRunTimes()
    context.steps, context.estimates = [], []
    for number in range(count):
        played = _play_step(rng, number, images=images)
        _observe(context.run_times, played, *STAGES[stage])
        context.steps.append(played)
        context.estimates.append(
            context.run_times.estimate(played.workflow, 0)
        )
        if stage == "has not started":
            # It runs later, so that the following steps may learn from it.
            _observe(context.run_times, played, TASKS, 1.0)


def _error(estimate_ms, played):
    """Return the mean factor between estimate and run times, as logarithm."""
    errors = [
        abs(math.log(estimate_ms / run_ms)) for run_ms in played.tasks_ms
    ]
    return sum(errors) / len(errors)


def _caller_ms(played):
    return CallerEstimates().estimate(played.workflow, 0).run_ms


@then("the error of the learned figures is at most {share:g} of the callers'")
def _errors(context, share):
    pairs = list(zip(context.estimates, context.steps, strict=True))
    # The spread of siblings is an error that no estimate avoids.
    least = sum(_error(played.run_ms, played) for _, played in pairs)
    learned = sum(_error(item.run_ms, played) for item, played in pairs)
    callers = sum(_error(_caller_ms(played), played) for _, played in pairs)
    found = (learned - least) / (callers - least)
    context.report = f"{found:.3f} of {callers / len(pairs):.3f}"
    assert found <= share, context.report


@then("no more tasks than by the callers' figures would count as stuck")
def _stuck(context):
    learned = callers = 0
    for item, played in zip(context.estimates, context.steps, strict=True):
        for run_ms in played.tasks_ms:
            learned += item.run_ms < STUCK_SPEED_SHARE * run_ms
            callers += _caller_ms(played) < STUCK_SPEED_SHARE * run_ms
    assert learned <= callers, (learned, callers)


@then(
    "between {low:d} % and {high:d} % of the run times are within the stated "
    "spread"
)
def _spread(context, low, high):
    within = total = 0
    for item, played in zip(context.estimates, context.steps, strict=True):
        if item.samples:
            reach = math.sqrt(math.log1p(item.spread**2))
            within += sum(
                abs(math.log(run_ms / item.run_ms)) <= reach
                for run_ms in played.tasks_ms
            )
            total += TASKS
    assert low <= 100 * within / total <= high, within / total


@given(
    "a step of {count:d} tasks of {run_s:d} s, {slow:d} of which run at a "
    "quarter of the speed"
)
def _slow_step(context, count, run_s, slow):
    step = Step(count=count, needs=NEEDS, estimated_ms=5400, image="render")
    context.workflow = make_workflow([step])
    context.run_times = LearnedRunTimes()
    context.tasks_ms = [
        1000 * run_s * (4 if number < slow else 1) for number in range(count)
    ]


@when("each of its tasks does a tenth of its work {times:d} times")
def _tenths(context, times):
    rng = random.Random(SEED)
    for _ in range(times):
        for run_ms in context.tasks_ms:
            context.run_times.observe(
                context.workflow,
                0,
                run_ms=run_ms * rng.lognormvariate(0, SIBLING_SPREAD),
                weight=TENTH,
            )


@then("its run time is estimated within {percent:d} % of {run_s:d} s")
def _estimated(context, percent, run_s):
    found = context.run_times.estimate(context.workflow, 0)
    assert abs(found.run_ms / 1000 / run_s - 1) < percent / 100, found


@when("the run times of later steps are three times as long")
def _changed(context):
    context.factor = 3.0


@then("after {count:d} more steps the next one is estimated within {pc:d} %")
def _learned_again(context, count, pc):
    def play(number):
        return _play_step(
            context.rng, number, images=context.images, factor=context.factor
        )

    first = len(context.steps)
    for number in range(first, first + count):
        _observe(context.run_times, play(number), TASKS, 1.0)
    probes = [play(first + count + number) for number in range(50)]
    # The median of many, as a single step differs from its image.
    ratios = sorted(
        context.run_times.estimate(played.workflow, 0).run_ms / played.run_ms
        for played in probes
    )
    assert abs(ratios[len(ratios) // 2] - 1) < pc / 100, ratios


@then("{count:d} rows are held, among them all images and the queue")
def _rows(context, count):
    rows = context.run_times.rows()
    assert len(rows) == count, len(rows)
    shared = [row for row in rows if not row.name.startswith("step/")]
    assert len(shared) == context.images + 1, shared


@then("they take at most {size_kb:d} kB in the store")
def _size(context, size_kb):
    size = len(compress(pack(context.run_times.rows())))
    assert size <= size_kb * 1000, size


@given("a stored row of infinite weight")
def _infinite(context):
    context.steps = [_play_step(random.Random(SEED), 0, images=1)]
    context.run_times = LearnedRunTimes()
    context.run_times.restore(
        [RunTimeRow(name="image/image-0", weight=math.inf, mean=math.nan)]
    )


@when("another process that has observed one step restores the rows")
def _restored(context):
    context.own = context.steps[0].workflow
    context.other = LearnedRunTimes()
    context.other.observe(context.own, 0, run_ms=77_000, weight=1)
    context.other.restore(copy.deepcopy(context.run_times.rows()))


@then("both estimate all steps alike, but for that one")
def _alike(context):
    own_ms = context.other.estimate(context.own, 0).run_ms
    assert own_ms > 2 * context.run_times.estimate(context.own, 0).run_ms
    # The step that was observed has made rows of its image and its queue.
    for played in context.steps[1:]:
        if played.workflow.steps[0].image != context.own.steps[0].image:
            mine = context.run_times.estimate(played.workflow, 0)
            other = context.other.estimate(played.workflow, 0)
            assert abs(math.log(mine.run_ms / other.run_ms)) < 0.01
            assert other.samples


@then("its estimates are finite")
def _finite(context):
    found = context.other.estimate(context.own, 0)
    assert math.isfinite(found.run_ms) and math.isfinite(found.spread)


@then(
    "its estimate is the caller's, with a spread of {spread:g} and no samples"
)
def _callers(context, spread):
    found = context.run_times.estimate(context.workflow, 0)
    assert found == CallerEstimates().estimate(context.workflow, 0)
    assert found.spread == spread == CALLER_SPREAD and not found.samples
