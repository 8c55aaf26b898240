"""Steps about the refusal of workflows in an overload."""

import types

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.admission_control import AdmissionControl
from radishlanding.dispatch.backlog import Backlog
from radishlanding.dispatch.early_cancellations import EarlyCancellations
from radishlanding.dispatch.entry_room import EntryRoom
from radishlanding.dispatch.retention_clock import RetentionClock
from radishlanding.dispatch.submission_queue import SubmissionQueue
from radishlanding.observe import Counters
from radishlanding.policy import Admission
from radishlanding.policy import CallerEstimates
from radishlanding.policy import CompletionOrder
from radishlanding.policy import has_first_task_room
from radishlanding.policy import Prospect
from radishlanding.policy import RunTimeEstimate
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowOutcome
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry
from tests.policy import overload_play
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NAME
from tests.workflow.workflow_steps import NEEDS

SEEDS = 6
# Share by which learned run times differ from true ones.
LEARNED_ERROR = 0.2
FACTORS = {"well": 1, "not at all": 1, "ten times too long": 10}


class LearnedTimes:
    """Run times that differ from the true ones by a factor."""

    def __init__(self, known):
        self._factor = FACTORS[known]
        self._samples = 0 if known == "not at all" else 5

    def estimate(self, workflow, number):
        return RunTimeEstimate(
            run_ms=self._factor * workflow.steps[number].estimated_ms,
            spread=LEARNED_ERROR,
            samples=self._samples,
        )


@given("run times that are learned {known}")
def _learned(context, known):
    context.run_times = LearnedTimes(known)


def _control(context, play):
    return AdmissionControl(
        registry=play,
        planner=play,
        fleet=play,
        site_watch=play,
        run_times=context.run_times,
        counters=Counters(),
        clock_ms=lambda: play.now_ms,
    )


def _run(context, jobs, *, seed, refuses=True):
    play = overload_play.Play(
        CompletionOrder(run_times=context.run_times),
        seed=seed,
        control=lambda play: _control(context, play) if refuses else None,
    )
    return play.run(jobs)


@when(
    "a queue at {load:g} times its capacity is played with and without "
    "refusals"
)
def _played(context, load):
    context.played, context.baseline = (
        [
            _run(
                context,
                overload_play.arrivals(seed, load, error=LEARNED_ERROR),
                seed=seed,
                refuses=refuses,
            )
            for seed in range(SEEDS)
        ]
        for refuses in (True, False)
    )


def _share(plays, *outcomes):
    found = [job.outcome in outcomes for jobs in plays for job in jobs]
    return sum(found) / len(found)


@then("from {least:g} to {most:g} of the workflows are refused")
def _refused(context, least, most):
    found = _share(context.played, "refused")
    assert least <= found <= most, found


@then("callers get at most {loss:g} of the worth less than without refusals")
def _worth(context, loss):
    found, baseline = (
        sum(map(overload_play.worth, plays)) / SEEDS
        for plays in (context.played, context.baseline)
    )
    assert found >= baseline - loss, (found, baseline)


@then(
    "at most {loss:g} of the workflows less are served than without refusals"
)
def _served(context, loss):
    found = _share(context.played, "in time", "late")
    baseline = _share(context.baseline, "in time", "late")
    assert found >= baseline - loss, (found, baseline)


@then("no more workflows are accepted for nothing than without refusals")
def _for_nothing(context):
    found = _share(context.played, "useless", "never")
    baseline = _share(context.baseline, "useless", "never")
    refused = _share(context.played, "refused")
    # Half of the refusals at least are of workflows that would earn nothing.
    assert found <= baseline - refused / 2, (found, baseline, refused)


@when("a burst of {load:g} times the capacity for 30 s is followed by calm")
def _burst(context, load):
    burst = overload_play.arrivals(1, load, 30, error=LEARNED_ERROR)
    context.calm = overload_play.arrivals(
        2, 0.5, 60, begin_s=120, error=LEARNED_ERROR
    )
    context.burst = burst
    _run(context, burst + context.calm, seed=1)


@then("some of the burst and none of the calm is refused")
def _burst_refused(context):
    assert _share([context.burst], "refused") > 0
    assert _share([context.calm], "refused") == 0


@then("{share:g} of the workflows of the calm end in time")
def _calm_in_time(context, share):
    found = _share([context.calm], "in time")
    assert found >= share, found


@when("{count:d} workflows are refused at the same time")
def _together(context, count):
    admission = Admission()
    prospect = Prospect(
        queue="q",
        core_ms=20_000,
        ahead_core_ms=600_000,
        millicores=10_000,
        path_ms=2000,
        objective_ms=10_000,
        spread=0.2,
        samples=3,
        has_room=False,
    )
    # Accepted ones let the budget allow refusals.
    for _ in range(4 * count):
        admission.retry_after_s(
            types.SimpleNamespace(queue="q", samples=0), now_ms=1
        )
    context.returns_s = [
        admission.retry_after_s(prospect, now_ms=1) for _ in range(count)
    ]


@then("their callers are asked to return at rising times of 30 s at most")
def _in_turn(context):
    found = context.returns_s
    assert 0 < found[0] and found[-1] <= 30, found
    assert found == sorted(set(found)), found


@given("an admission control that refuses everything")
def _refuse_all(context):
    registry = WorkflowRegistry()
    known = make_workflow([Step(count=1, needs=NEEDS)])
    registry.workflows[NAME] = WorkflowRecord(workflow=known, shown="queued")
    context.queue = SubmissionQueue(
        registry=registry,
        wake=lambda: None,
        max_entry_bytes=1000,
        stored_size=len,
        counters=Counters(),
        early_cancellations=EarlyCancellations(
            registry=registry, clock=RetentionClock(), counters=Counters()
        ),
        admission=types.SimpleNamespace(retry_after_s=lambda _: 7),
    )


@when("a recorded workflow and a new one are submitted")
def _submitted(context):
    context.answers = [
        trio.run(
            context.queue.submit,
            make_workflow([Step(count=1, needs=NEEDS)], name=name),
        )
        for name in (NAME, "f" * 16)
    ]


@then("the recorded one is found and the new one is refused for 7 s")
def _answers(context):
    found, refused = context.answers
    assert found.outcome == WorkflowOutcome.FOUND, found
    assert refused.outcome == WorkflowOutcome.REFUSED, refused
    assert refused.retry_after_s == 7, refused


@then("the new one is not to be recorded")
def _not_recorded(context):
    assert context.queue.collect(EntryRoom()) == ([], [], [])


class _CountedLoad:
    """Load of a VM that counts how often its idle processors are read."""

    pool = "order-desk"
    looks = 0

    def __init__(self, idle_millicores):
        self._idle_millicores = idle_millicores

    @property
    def idle_millicores(self):
        _CountedLoad.looks += 1
        return self._idle_millicores

    def can_fit(self, _key, _step):
        return True


@given("{count:d} VMs with {idle:d} of 64 processors idle")
def _idle_vms(context, count, idle):
    _CountedLoad.looks = 0
    context.loads = [_CountedLoad(1000 * idle) for _ in range(count)]


def _submit_first(context, steps):
    context.has_room = has_first_task_room(make_workflow(steps), context.loads)


@when(
    "a workflow of {count:d} first tasks of {cores:d} processors is "
    "submitted, {kind}"
)
def _equal_first(context, count, cores, kind):
    needs = Capacity(millicores=1000 * cores, memory_mb=100)
    fills = kind == "best-effort"
    step = Step(count=1, needs=needs, fills=fills)
    _submit_first(context, [step] * count)


@when("a workflow of {count:d} first tasks of different needs is submitted")
def _different_first(context, count):
    _submit_first(
        context,
        [
            Step(
                count=1,
                needs=Capacity(millicores=1000 + number, memory_mb=100),
            )
            for number in range(count)
        ],
    )


@then("it is {taken} to find room, after at most {most:d} looks at a VM")
def _room_found(context, taken, most):
    assert context.has_room == (taken == "taken")
    assert _CountedLoad.looks <= most, _CountedLoad.looks


@given("a backlog that has been followed for {seconds:d} s")
def _followed(context, seconds):
    context.backlog = Backlog(run_times=CallerEstimates())
    step = Step(count=100, needs=NEEDS, estimated_ms=4000)
    context.record = WorkflowRecord(workflow=make_workflow([step]))
    context.now_ms = 1_000_000
    for second in range(seconds):
        context.record.done["0.0"] = second
        _follow(context, 1)


def _follow(context, seconds):
    for _ in range(seconds):
        context.now_ms += 1000
        context.backlog.update(
            [context.record], rooms={}, now_ms=context.now_ms
        )


@when("the clock is set back by {back:d} s for {seconds:d} s")
def _set_back(context, back, seconds):
    context.now_ms -= 1000 * back
    _follow(context, seconds)


@then("its rates cover a whole window, and none of what was done before")
def _new_rates(context):
    assert context.backlog.is_known(context.now_ms)
    (queue,) = context.backlog.queues.values()
    assert not queue.drained_millicores, queue
