"""Steps about placement and routing policies."""

import collections
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import FairQueue
from radishlanding.policy import LeastOutstanding
from radishlanding.policy import PowerOfTwo
from radishlanding.policy import Quarantine
from radishlanding.policy import RandomRouting
from radishlanding.policy import RetryBudget
from radishlanding.policy import RoundRobin
from radishlanding.policy import SpreadPlacement
from radishlanding.policy import TargetView
from radishlanding.policy import VmView
from radishlanding.task import Task
from radishlanding.vm import Capacity
from tests.shard.shard_steps import make_job

SEED = 7


def _cores(count):
    return Capacity(millicores=count * 1000, memory_mb=100_000)


@given("queued tasks")
def _queued_tasks(context):
    context.rows = list(context.table)


@given(
    "abay-reef uses {used_a:d} of its {quota_a:d} cores and aarekreis "
    "{used_k:d} of its {quota_k:d}"
)
def _quotas(context, used_a, quota_a, used_k, quota_k):
    context.queue = FairQueue(
        quotas={"abay-reef": _cores(quota_a), "aarekreis": _cores(quota_k)}
    )
    for name, used in (("abay-reef", used_a), ("aarekreis", used_k)):
        for _ in range(used):
            context.queue.charge(make_job("running", organisation=name))
    queues = collections.defaultdict(list)
    for row in context.rows:
        job = make_job(
            row["task"],
            organisation=row["organisation"],
            is_urgent=row["urgent"] == "yes",
        )
        task = Task(task_id=row["task"], job_id=row["task"])
        queues[job.is_urgent, job.organisation].append((task, job))
    for (is_urgent, organisation), items in queues.items():
        context.queue.add(
            is_urgent=is_urgent, organisation=organisation, items=items
        )


@then("the queue returns them in the order {order}")
def _queue_order(context, order):
    taken = []
    while (item := context.queue.take()) is not None:
        task, job = item
        context.queue.charge(job)
        taken.append(task.task_id)
    assert taken == order.split(), taken


@given("VMs with {a:d}, {b:d} and {c:d} of 8 cores free")
def _vms(context, a, b, c):
    context.views = [
        VmView(
            vm=f"vm{index}",
            zone="bole",
            rack="r",
            capacity=_cores(8),
            free=_cores(free),
        )
        for index, free in enumerate((a, b, c))
    ]


@given("3 tasks of the job on the first and 1 on the third")
def _tasks_of_job(context):
    context.views[0].tasks_by_job = {"j": 3}
    context.views[2].tasks_by_job = {"j": 1}


@then("spread placement chooses the second")
def _spread_chooses_second(context):
    chosen = SpreadPlacement().choose(make_job("j"), context.views)
    assert chosen is context.views[1], chosen


@given("a quarantine in which {count:d} distinct tasks failed at {at_s:d} s")
def _quarantine(context, count, at_s):
    context.quarantine = Quarantine()
    for _ in range(3):
        for index in range(count):
            context.quarantine.record_failure(f"t{index}", now_s=at_s)
        if count > 1:
            break


@then("the VM takes {count} tasks at {at_s:d} s with {running:d} running")
def _max_new_tasks(context, count, at_s, running):
    found = context.quarantine.max_new_tasks(running=running, now_s=at_s)
    assert found == (None if count == "any" else int(count)), found


@when("another task fails at {at_s:d} s")
def _another_failure(context, at_s):
    context.quarantine.record_failure("probe", now_s=at_s)


@when("a task succeeds")
def _success(context):
    context.quarantine.record_success()


@given("a retry budget of 0.1 with at most 10")
def _retry_budget(context):
    context.budget = RetryBudget(share=0.1, max_balance=10.0)


@when("1000 requests each want 1 retry")
def _request_retries(context):
    context.retries = 0
    for _ in range(1000):
        context.budget.deposit()
        context.retries += context.budget.try_withdraw()


@then("100 to 110 retries are allowed")
def _allowed_retries(context):
    assert 100 <= context.retries <= 110, context.retries


@given("4 targets of which one is 4 times slower")
def _targets(context):
    context.targets = [
        TargetView(
            vm=f"vm{index}",
            slots=8,
            outstanding=0,
            latency_ms=20.0 if index == 0 else 5.0,
        )
        for index in range(4)
    ]


@when("{policy} routes 4000 requests one at a time")
def _route(context, policy):
    rng = random.Random(SEED)
    routing = {
        "power of two": PowerOfTwo(random=rng),
        "round robin": RoundRobin(),
        "random": RandomRouting(random=rng),
        "least outstanding": LeastOutstanding(),
    }[policy]
    chosen = [routing.choose(context.targets).vm for _ in range(4000)]
    context.slow = chosen.count("vm0")


@then("the slow target gets {low:d} to {high:d} of them")
def _slow_target_share(context, low, high):
    assert low <= context.slow <= high, context.slow
