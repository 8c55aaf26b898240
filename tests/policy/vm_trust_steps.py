"""Steps for the trust in VMs, which play steps on uneven VMs."""

import random
import types

from behave import given
from behave import then
from behave import when

from radishlanding.policy import DOUBTFUL_TRUST
from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import VmLoad
from radishlanding.policy import VmTrust
from radishlanding.policy import WorkflowPlanner
from radishlanding.policy.doubt_limit import DoubtLimit
from radishlanding.policy.vm_trust import FULL_TRUST
from radishlanding.vm import Capacity
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow

SEED = 5
SLOTS = 9
NEEDS = Capacity(millicores=7000, memory_mb=1000)
CAPACITY = Capacity(millicores=7000 * SLOTS, memory_mb=1000 * SLOTS)
TICK_S = 0.25
SIBLING_SPREAD = 0.15
# Leaves time for steps whose tasks failed.
SETTLE_S = 40.0


def rating_of(trust):
    """Return the name of a trust, from 0 to 1."""
    if trust < DOUBTFUL_TRUST:
        return "doubtful"
    return "probed" if trust < FULL_TRUST else "trusted"


def _load(vm, trust=1.0):
    return VmLoad(
        vm=vm,
        boot="b",
        pool="order-desk",
        zone="z0",
        labels=[],
        capacity=CAPACITY,
        free=CAPACITY,
        idle_millicores=CAPACITY.millicores,
        trust=trust,
    )


def _site(**fields):
    planner = WorkflowPlanner(
        order=EarliestDeadline(),
        interference=Interference(),
        rng=random.Random(SEED),
    )
    registry = WorkflowRegistry()
    return types.SimpleNamespace(planner=planner, registry=registry, **fields)


def _accept(site, step, name, accepted_ms=1):
    workflow = make_workflow([step], name=name, accepted_ms=accepted_ms)
    site.registry.apply(
        LogEntry(commit_id="c", made_ms=1, accepted=[workflow])
    )


def _place(site, loads, now_ms, ends=()):
    """Record ends, and return new assignments, which are recorded, too."""
    site.registry.apply(LogEntry(commit_id="c", made_ms=1, ends=list(ends)))
    site.planner.mark_changed({end.task_id[:16] for end in ends})
    records = [
        record
        for record in site.registry.workflows.values()
        if not record.phase.has_ended
    ]
    planned = site.planner.plan(records, loads, now_ms=now_ms)
    site.registry.apply(
        LogEntry(commit_id="c", made_ms=1, assignments=planned)
    )
    return planned


def _speed(site, vm, now_s):
    is_slow = "quarter" in site.fault or (
        "16" in site.fault and now_s % 16 < 8
    )
    return 0.25 if vm in site.faulty and is_slow else 1.0


def _advance(site, now_s):
    """Run all tasks for a tick, and return those that end."""
    ends = []
    for run in list(site.runs):
        speed = _speed(site, run.vm, now_s)
        run.done_s += TICK_S * speed
        gained = (run.done_s - run.sampled_s) / run.work_s
        if gained >= 0.1:
            run.sampled_s = run.done_s
            site.trust.observe_run(
                run.vm,
                run.task_id[:16],
                run_ms=1000 * run.work_s / speed,
                weight=gained,
                now_s=now_s,
            )
        if run.done_s < run.work_s:
            continue
        fails = "fail" in site.fault and run.vm in site.faulty
        if fails and site.rng.random() < 0.3:
            site.trust.record_failure(run.vm, now_s=now_s)
            kind = EndKind.FAILED
        else:
            site.trust.record_success(run.vm, now_s=now_s)
            kind = EndKind.DONE
        site.runs.remove(run)
        site.ended_s[run.task_id[:16]] = now_s
        ends.append(
            TaskEnd(task_id=run.task_id, attempt=run.attempt, kind=kind)
        )
    return ends


def _play(is_trusting, vms, faulty, fault, run_s, last_s):
    names = [f"vm{number}" for number in range(vms)]
    site = _site(
        fault=fault,
        faulty=names[:faulty],
        rng=random.Random(SEED),
        trust=VmTrust(),
        runs=[],
        came_s={},
        ended_s={},
        waits_s=[],
        faulty_starts=0,
    )
    step = Step(count=20, needs=NEEDS, estimated_ms=1000)
    for tick in range(int((last_s + SETTLE_S) / TICK_S)):
        now_s = tick * TICK_S
        if now_s < last_s and tick % 2 == 0:
            name = f"{tick:016x}"
            site.came_s[name] = now_s
            _accept(site, step, name, int(now_s * 1000))
        ends = _advance(site, now_s)
        loads = {name: _load(name) for name in names}
        for run in site.runs:
            loads[run.vm].add(TaskId.parse(run.task_id)[:3], step)
            loads[run.vm].finite_tasks += 1
        loads = [load.copy() for load in loads.values()]
        if is_trusting:
            site.trust.rate(loads, now_s=now_s)
        for item in _place(site, loads, int(now_s * 1000), ends):
            site.faulty_starts += item.vm in site.faulty
            if item.attempt == 1:
                site.waits_s.append(now_s - site.came_s[item.task_id[:16]])
            site.runs.append(
                types.SimpleNamespace(
                    task_id=item.task_id,
                    attempt=item.attempt,
                    vm=item.vm,
                    work_s=run_s * site.rng.lognormvariate(0, SIBLING_SPREAD),
                    done_s=0.0,
                    sampled_s=0.0,
                )
            )
    assert not site.runs
    took_s = [site.ended_s[name] - at for name, at in site.came_s.items()]
    site.mean_s = sum(took_s) / len(took_s)
    return site


@when(
    "a step of 20 tasks of {run_s:d} s comes each half second for {last_s:d} "
    "s to {vms:d} VMs, {faulty:d} of which {fault}"
)
def _played(context, run_s, last_s, vms, faulty, fault):
    context.trusting, context.baseline = (
        _play(is_trusting, vms, faulty, fault, run_s, last_s)
        for is_trusting in (True, False)
    )


@then("the mean step takes at most {share:g} of its time without trust")
def _faster(context, share):
    found = context.trusting.mean_s / context.baseline.mean_s
    assert found <= share, (found, context.trusting.mean_s)


@then("no task waits 3 s, and faulty VMs get some tasks, but fewer")
def _probed(context):
    assert max(context.trusting.waits_s) < 3
    starts = context.trusting.faulty_starts, context.baseline.faulty_starts
    assert 0 < starts[0] < starts[1] or starts == (0, 0), starts


@then('a VM with the history "{history}" is {rating:w}')
def _history(context, history, rating):
    trust, now_s = VmTrust(), 100.0
    found = trust.trust("x", now_s=now_s)
    for number, event in enumerate(history.split()):
        if event.startswith("wait"):
            now_s += int(event.removeprefix("wait"))
        elif event == "fail":
            trust.record_failure("x", now_s=now_s)
        elif event == "done":
            trust.record_success("x", now_s=now_s)
        elif event == "loss":
            trust.record_loss("x", now_s=now_s)
        elif event != "nothing":
            speeds = {"a": 1.0, "b": 1.0, "x": float(event)}
            for vm, speed in speeds.items():
                trust.observe_run(
                    vm, number, run_ms=3000 / speed, weight=1, now_s=now_s
                )
        found = trust.trust("x", now_s=now_s)
    assert rating_of(found) == rating, found


@then(
    "{left:d} of {size:d} VMs have less than full trust if {slow:d} are "
    "doubtful"
)
def _pool(context, left, size, slow):
    trust = VmTrust()
    for number in range(3 * slow):
        trust.record_failure(f"vm{number % slow}", now_s=0)
    loads = [_load(f"vm{number}") for number in range(size)]
    trust.rate(loads, now_s=0)
    assert sum(load.trust < FULL_TRUST for load in loads) == left


@when(
    "a step of {count:d} {kind:w} tasks is placed after 0, 250 and 500 ms, "
    "with {bad:d} doubtful VMs of {trust:f} and {good:d} other"
)
def _placed(context, count, kind, bad, trust, good):
    loads = [_load(f"vm{number}") for number in range(good)]
    loads += [_load(f"bad{number}", trust) for number in range(bad)]
    site = _site()
    step = Step(
        count=count,
        needs=NEEDS,
        gang=kind == "gang",
        standing=kind == "standing",
    )
    _accept(site, step, "0" * 16, accepted_ms=1000)
    context.placed = [
        sum(item.vm.startswith("bad") for item in _place(site, loads, now_ms))
        for now_ms in (1000, 1250, 1500)
    ]


@then("those VMs get {numbers} tasks then")
def _numbers(context, numbers):
    assert context.placed == list(map(int, numbers.split())), context.placed


@given("a step of {count:d} tasks that is held back from doubtful VMs")
def _held(context, count):
    context.limit = DoubtLimit()
    context.step = Step(
        count=count, needs=Capacity(millicores=1000, memory_mb=100)
    )
    context.limit.hold("a", now_ms=1_000_000)


@when("the clock is set back by {seconds:d} s")
def _set_back(context, seconds):
    context.now_ms = 1_000_000 - 1000 * seconds


@then("the step is held for {hold_ms:d} ms at most")
def _held_for(context, hold_ms):
    for now_ms in (context.now_ms, context.now_ms + hold_ms):
        found = context.limit.max_tasks("a", context.step, now_ms=now_ms)
        context.limit.hold("a", now_ms=now_ms)
    assert found is None, found
