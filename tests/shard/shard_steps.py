"""Steps for shards."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.journal import Fenced
from radishlanding.journal import Journal
from radishlanding.journal import Segment
from radishlanding.observe import Counters
from radishlanding.scheduler import transitions
from radishlanding.shard import Change
from radishlanding.shard import GroupCommit
from radishlanding.shard import rendezvous
from radishlanding.shard import ShardState
from radishlanding.task import Job
from radishlanding.task import TaskState
from radishlanding.vm import Capacity
from tests.standin.open_store import open_store

NOW_S = 1_000_000_000.0
DAY_S = 86_400.0


def make_job(job_id, tasks=1, **changes):
    """Return a job of an idempotent task template.

    :param job_id: Identity of the job.
    :param tasks: Number of tasks.
    :param changes: Fields that differ.
    """
    fields = {
        "job_id": job_id,
        "organisation": "abay-reef",
        "template": "tank-watch",
        "tasks": tasks,
        "parameters": "{}",
        "needs": Capacity(millicores=1000, memory_mb=1000),
        "is_idempotent": True,
        "is_urgent": False,
        "zones": ["bole", "piassa"],
    }
    return Job(**{**fields, **changes})


@given("the owner of an empty shard")
def _the_owner(context):
    context.standin, context.store = context.bridge.call(
        open_store, context.bridge
    )
    context.state = ShardState()
    context.journal = Journal(store=context.store, shard=0, writer="A")
    context.bridge.call(context.journal.open, context.state)
    context.commit = GroupCommit(
        journal=context.journal, state=context.state, counters=Counters()
    )
    context.bridge.spawn(_run_until_fenced, context.commit)


async def _run_until_fenced(commit):
    try:
        await commit.run()
    except Fenced:
        pass


async def _submit_all(commit, changes):
    results = []

    async def submit(change):
        try:
            results.append(await commit.submit(change))
        except Fenced:
            results.append(Fenced)

    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            for change in changes:
                nursery.start_soon(submit, change)
    return results


def _submit(context, changes):
    context.results = context.bridge.call(_submit_all, context.commit, changes)


@when("200 jobs are submitted at once")
def _200_jobs(context):
    _submit(
        context, [Change(jobs=[make_job(f"j{index}")]) for index in range(200)]
    )


@then("all are recorded in at most 2 segments")
def _all_recorded(context):
    assert context.results == [True] * 200
    # One more was written when the journal was opened.
    assert len(context.standin.names("shard/0000/log/")) <= 3


@when("job {job_id} of {tasks:d} tasks is submitted")
def _job_is_submitted(context, job_id, tasks):
    _submit(context, [Change(jobs=[make_job(job_id, tasks)])])


@when("job {job_id} of {tasks:d} tasks is submitted twice at once")
def _job_is_submitted_twice(context, job_id, tasks):
    _submit(context, [Change(jobs=[make_job(job_id, tasks)])] * 2)


@when("task j/0 is assigned to a and to b at once")
def _assigned_twice(context):
    task = context.state.tasks["j/0"]
    changes = [
        Change(transitions=[transitions.assign(task, vm=vm, incarnation="i")])
        for vm in "ab"
    ]
    _submit(context, changes)


@then("one assignment is recorded")
def _one_assignment(context):
    assert sorted(context.results) == [False, True]
    assert context.state.tasks["j/0"].epoch == 1


@then("one submission is recorded and there are 2 tasks")
def _one_submission(context):
    assert sorted(context.results) == [False, True]
    assert len(context.state.tasks) == 2


@when("another process opens its journal")
def _another_opens(context):
    other = Journal(store=context.store, shard=0, writer="B")
    context.bridge.call(other.open, ShardState())


@then("the submission ends with Fenced")
def _ends_with_fenced(context):
    assert context.results == [Fenced], context.results


def _segment(number, made_s, **changes):
    return Segment(
        number=number,
        writer="A",
        commit_id=str(number),
        owner_epoch=1,
        made_s=made_s,
        **changes,
    )


@given("a state of 4000 jobs, one of them ended 8 days ago")
def _a_state(context):
    context.state = state = ShardState()
    jobs = [make_job(f"j{index}") for index in range(4000)]
    state.apply(_segment(1, NOW_S - 9 * DAY_S, jobs=jobs))
    end = transitions.end(state.tasks["j0/0"], TaskState.DONE)
    state.apply(_segment(2, NOW_S - 8 * DAY_S, transitions=[end]))
    assign = transitions.assign(state.tasks["j1/0"], vm="v", incarnation="i")
    state.apply(_segment(3, NOW_S, transitions=[assign]))


@when("it is dumped and loaded")
def _dumped_and_loaded(context):
    context.chunks = context.state.dump()
    context.loaded = ShardState()
    context.loaded.load(context.chunks)


@then("the loaded state is the same, in more than one chunk")
def _loaded_state_is_equal(context):
    assert len(context.chunks) > 1
    assert all(len(chunk) < 2**20 for chunk in context.chunks)
    for name in ("jobs", "tasks", "claims", "ended_s"):
        assert getattr(context.loaded, name) == getattr(context.state, name)
    assert context.loaded.busy_vms() == ["v"]
    (queue,) = context.loaded.queues()
    assert len(list(queue[2])) == 3998


@when("it is pruned")
def _pruned(context):
    context.state.prune()


@then("3999 jobs remain")
def _jobs_remain(context):
    assert len(context.state.jobs) == 3999
    assert "j0" not in context.state.jobs


@then(
    "of 1000 names only those that preferred peer 3 of 6 are reassigned "
    "without it"
)
def _only_those_are_reassigned(_context):
    peers = [f"10.0.0.{index}" for index in range(6)]
    remaining = [peer for peer in peers if peer != peers[3]]
    for index in range(1000):
        before = rendezvous(str(index), peers)[0]
        after = rendezvous(str(index), remaining)[0]
        assert before == after or before == peers[3]
