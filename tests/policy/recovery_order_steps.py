"""Steps that play how a site comes back after it has lost power."""

import collections
import random
import unittest.mock

from behave import given
from behave import then
from behave import when

from radishlanding.policy import EarliestDeadline
from radishlanding.policy import Interference
from radishlanding.policy import ORDER_OVERHEAD_BYTES
from radishlanding.policy import SendWindow
from radishlanding.policy import VmLoad
from radishlanding.policy import WorkflowPlanner
from radishlanding.vm import Capacity
from radishlanding.workflow import EndKind
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import TaskEnd
from radishlanding.workflow import TaskId
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry
from tests.workflow.workflow_steps import make_workflow

MEMORY_MB = 250_000
START_MS = 1_000_000
ROUND_MS = 40
ANSWER_MS = 50
SPEC_BYTES = 2000
PLAY_MS = 6000
BITS_PER_BYTE = 8
TASKS_PER_STANDING = 14
# Eight urgent workflows a second.
URGENT_INTERVAL_MS = 125


def _capacity(number):
    return Capacity(
        millicores=96_000 if number % 3 == 2 else 64_000, memory_mb=MEMORY_MB
    )


def _step(count, cores, **fields):
    return Step(
        count=count,
        needs=Capacity(millicores=1000 * cores, memory_mb=4000),
        **fields,
    )


class _Site:
    """A site whose VMs come back one after the other."""

    def __init__(self, *, vms, span_ms, mbps, seed):
        self._rng = random.Random(seed)
        self.registry = WorkflowRegistry()
        self.capacities = {f"vm{n}": _capacity(n) for n in range(vms)}
        self.back_ms = {
            vm: START_MS + self._rng.uniform(0, span_ms)
            for vm in self.capacities
        }
        self.interference = Interference()
        self.planner = WorkflowPlanner(
            order=EarliestDeadline(),
            interference=self.interference,
            rng=random.Random(seed),
        )
        self._window = SendWindow(link_mbps=mbps)
        self._bytes_per_ms = mbps * 1e3 / BITS_PER_BYTE
        self._free_ms = START_MS
        self._arrivals = []
        self._count = 0
        self.ordered_ms = {}
        self._running = []
        self.followed = set()

    def accept(self, step, *, at_ms, **fields):
        self._count += 1
        workflow = make_workflow(
            [step], name=f"{self._count:016x}", accepted_ms=at_ms, **fields
        )
        workflow.spec = "s" * SPEC_BYTES
        self._apply(accepted=[workflow])

    def _apply(self, **changes):
        self.registry.apply(
            LogEntry(commit_id="c", made_ms=START_MS, **changes)
        )

    def _load(self, vm):
        capacity = self.capacities[vm]
        load = VmLoad(
            vm=vm,
            boot="b1",
            pool="order-desk",
            zone="z0",
            labels=["a", "r1"],
            capacity=capacity,
            free=capacity,
            idle_millicores=capacity.millicores,
        )
        for task in self.registry.tasks_on(vm):
            parsed = TaskId.parse(task.task_id)
            record = self.registry.workflows[parsed.workflow_id]
            step = record.workflow.steps[parsed.step]
            load.add(parsed[:3], step)
            load.headroom_cost += self.interference.headroom_cost(
                step, load.capacity
            )
        return load

    def place(self, vms, *, now_ms, max_bytes=None):
        """Place a round, and return its assignments."""
        planned = self.planner.plan(
            [
                record
                for record in self.registry.workflows.values()
                if not record.phase.has_ended
            ],
            [self._load(vm) for vm in vms],
            now_ms=now_ms,
            max_bytes=max_bytes,
        )
        self._apply(assignments=planned)
        return planned

    def fill(self):
        """Place what is accepted on all VMs, as before the loss."""
        while self.place(self.capacities, now_ms=START_MS):
            pass

    def standing_ids(self):
        return [
            task.task_id
            for record in self.registry.workflows.values()
            if record.workflow.is_standing
            for task in record.tasks.values()
        ]

    def _end(self, tasks, kind):
        ends = [
            TaskEnd(task_id=task.task_id, attempt=task.attempt, kind=kind)
            for task in tasks
        ]
        self._apply(ends=ends)
        self.planner.mark_changed(
            {end.task_id.partition(".")[0] for end in ends}
        )

    def play(self, arrivals):
        """Let the VMs come back and the backlog be served.

        :param arrivals: Callable that takes the time in milliseconds and
            accepts what arrives by then.
        """
        for now_ms in range(START_MS, START_MS + PLAY_MS, ROUND_MS):
            arrivals(now_ms)
            for vm, back_ms in self.back_ms.items():
                if back_ms <= now_ms and vm not in self.followed:
                    self.followed.add(vm)
                    self._end(self.registry.tasks_on(vm), EndKind.INTERRUPTED)
            self._advance(now_ms)
            room_bytes = self._window.room_bytes(now_ms / 1000)
            if room_bytes and self.followed:
                planned = self.place(
                    sorted(self.followed), now_ms=now_ms, max_bytes=room_bytes
                )
                self._order(planned, now_ms)

    def _order(self, planned, now_ms):
        messages = collections.defaultdict(list)
        for item in planned:
            messages[item.vm].append(item)
        for items in messages.values():
            specs = {item.task_id.partition(".")[0] for item in items}
            size_bytes = (
                len(items) * ORDER_OVERHEAD_BYTES + len(specs) * SPEC_BYTES
            )
            message = object()
            self._window.queue(size_bytes)
            self._window.record_sent(message, size_bytes, now_ms / 1000)
            sent_ms = size_bytes / self._bytes_per_ms
            self._free_ms = max(self._free_ms, now_ms) + sent_ms
            self._arrivals.append((self._free_ms + ANSWER_MS, message, items))

    def _advance(self, now_ms):
        for due_ms, message, items in self._arrivals:
            if due_ms > now_ms:
                continue
            self._window.record_answer(message)
            for item in items:
                self.ordered_ms.setdefault(item.task_id, due_ms - START_MS)
                record, task = self.registry.find(item.task_id)
                parsed = TaskId.parse(item.task_id)
                step = record.workflow.steps[parsed.step]
                if not step.standing:
                    self._running.append((due_ms + step.estimated_ms, task))
        self._arrivals = [item for item in self._arrivals if item[0] > now_ms]
        ended = [task for due_ms, task in self._running if due_ms <= now_ms]
        self._running = [pair for pair in self._running if pair[0] > now_ms]
        if ended:
            self._end(ended, EndKind.DONE)


@given(
    "{vms:d} VMs that run {tasks:d} standing tasks of a queue of priority "
    "{priority:d}"
)
def _standing(context, vms, tasks, priority):
    def make_site(span_ms, mbps):
        site = _Site(vms=vms, span_ms=span_ms, mbps=mbps, seed=1)
        for number in range(tasks // TASKS_PER_STANDING):
            step = _step(
                TASKS_PER_STANDING,
                12,
                standing=True,
                latency_target_ms=150,
                image="desk",
                max_per_vm=2 if number % 2 else 0,
            )
            site.accept(step, at_ms=START_MS - 100_000, priority=priority)
        site.fill()
        assert len(site.standing_ids()) == tasks
        return site

    context.make_site = make_site


@given(
    "a backlog of {urgent:d} urgent workflows of priority 0 and "
    "{best_effort:d} best-effort ones"
)
def _backlog(context, urgent, best_effort):
    context.urgent, context.best_effort = urgent, best_effort


def _urgent(site, count, at_ms):
    step = _step(count, 2, estimated_ms=1300)
    site.accept(step, at_ms=int(at_ms), latency_ms=1500)


def _play(context, span_s, mbps):
    """Return how long each standing task waits from its VM's return, in ms."""
    site = context.make_site(span_s * 1000, mbps)
    back_ms = {
        task_id: site.back_ms[site.registry.find(task_id)[1].vm] - START_MS
        for task_id in site.standing_ids()
    }
    for number in range(context.urgent):
        _urgent(site, 10, START_MS - 2000 + number)
    for number in range(context.best_effort):
        step = _step(20, 7, fills=True, image="batch", estimated_ms=4000)
        at_ms = START_MS - 2000 + number
        site.accept(step, at_ms=at_ms, priority=2, latency_ms=1500)
    due_ms = [START_MS]

    def arrive(now_ms):
        while due_ms[0] <= now_ms:
            _urgent(site, 16, due_ms[0])
            due_ms[0] += URGENT_INTERVAL_MS

    site.play(arrive)
    return [
        site.ordered_ms.get(task_id, PLAY_MS + back_ms[task_id])
        - back_ms[task_id]
        for task_id in back_ms
    ]


@when(
    "all VMs lose power and are followed again within {span_s:g} s, over a "
    "link of {mbps:d} Mbit/s"
)
def _power_loss(context, span_s, mbps):
    context.waits_ms = _play(context, span_s, mbps)
    with unittest.mock.patch.object(WorkflowRecord, "is_returning", False):
        context.earlier_ms = _play(context, span_s, mbps)
    print("ms", max(context.waits_ms), max(context.earlier_ms))


@then(
    "each standing task was ordered within {wait_s:g} s of the return of its "
    "VM"
)
def _ordered(context, wait_s):
    assert max(context.waits_ms) <= wait_s * 1000, max(context.waits_ms)


@then("by the earlier decision some waited {wait_s:g} s or longer")
def _earlier(context, wait_s):
    assert max(context.earlier_ms) >= wait_s * 1000, max(context.earlier_ms)


@given("a site on which nothing runs")
def _idle_site(context):
    context.site = _Site(vms=1, span_ms=0, mbps=1000, seed=1)


@when(
    "a standing workflow of priority 1 and an urgent one of priority 0 are "
    "placed"
)
def _place_both(context):
    site = context.site
    step = _step(1, 12, standing=True, latency_target_ms=150)
    site.accept(step, at_ms=START_MS, priority=1)
    _urgent(site, 1, START_MS)
    context.placed = site.place(site.capacities, now_ms=START_MS)


@then("the urgent one goes first")
def _urgent_first(context):
    first = context.placed[0].task_id.partition(".")[0]
    assert not context.site.registry.workflows[first].workflow.is_standing
    assert len(context.placed) == 2
