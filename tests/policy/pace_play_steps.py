"""Steps that play the pace of filling tasks on one VM."""

import math
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import headroom_of
from radishlanding.policy import PaceController
from radishlanding.policy import PRIOR_WEIGHT

ROUND_S = 0.6
PLAYED_S = 120.0
# Figures of the platform's pages: what a task needs, how many come a second
# on one VM of a site, how the load of serving tasks swings.
TASK_S = 5.4
TASKS_PER_S = 0.9
# Part of a VM that a task uses, and what it is taken to do to the tail
# whatever it does.
TASK_LOAD = 0.11
TAKEN_PRESS = PRIOR_WEIGHT * TASK_LOAD
MAX_TASKS = 8
HEAVY_TASKS = 4
# Tail latency of a serving task at rest, and that which good use leaves, as
# shares of its bound; what is left of a queue at least.
REST_SHARE = 1 / 6
ALLOWED_SHARE = 0.8
LEAST_LEFT = 0.02
SWING_S = 20.0
HARM_S = 4.0
KINDS = {
    "add 0.02 each": lambda rng: 0.02,
    "add 0.1 each": lambda rng: 0.1,
    "add 0.3 each": lambda rng: 0.3,
    "change all the time": lambda rng: rng.choice([0.02, 0.1, 0.5]),
}


class _Filler:
    """A filling task on the VM."""

    __slots__ = ("done_s", "growth")

    def __init__(self, growth):
        self.done_s = 0.0
        self.growth = growth


class _Controlled:
    """Paces by :class:`PaceController`, for tasks that are known as heavy."""

    __slots__ = ("_control", "_paces")

    def __init__(self):
        self._control = PaceController()
        self._paces = []

    def paces(self, share, fillers):
        """Return the pace of each task."""
        self._control.update(
            headroom_of(share),
            heavy_count=len(fillers),
            heavy_cost=TAKEN_PRESS * sum(self._paces) / 100,
        )
        self._paces = self._control.heavy_percents(
            [TAKEN_PRESS] * len(fillers)
        )
        return self._paces


class _Unpaced:
    """Never slows a task down."""

    __slots__ = ()

    def paces(self, _share, fillers):
        """Return the pace of each task."""
        return [100] * len(fillers)


class _Stopped:
    """Stops every filling task while something serves."""

    __slots__ = ()

    def paces(self, _share, fillers):
        """Return the pace of each task."""
        return [0] * len(fillers)


class _Play:
    """What became of one way of pacing."""

    __slots__ = ("done", "longest_s", "over_s")

    def __init__(self):
        self.done = 0
        self.longest_s = 0.0
        self.over_s = 0.0


def _play(pacing, growth_of, *, seed):
    rng = random.Random(seed)
    play, fillers, seen, over_s = _Play(), [], 0.35, 0.0
    for number in range(int(PLAYED_S / ROUND_S)):
        if len(fillers) < MAX_TASKS and rng.random() < TASKS_PER_S * ROUND_S:
            fillers.append(_Filler(growth_of(rng)))
        fillers.sort(key=lambda task: -task.done_s)
        paces = pacing.paces(seen, fillers)
        swing = math.sin(2 * math.pi * number * ROUND_S / SWING_S)
        seen = 0.35 + 0.1 * swing + rng.uniform(-0.03, 0.03)
        for task, pace in zip(fillers, paces, strict=True):
            seen += task.growth * pace / 100
            task.done_s += ROUND_S * pace / 100
        over_s = over_s + ROUND_S if seen > 1 else 0.0
        play.longest_s = max(play.longest_s, over_s)
        play.over_s += ROUND_S * (seen > 1)
        play.done += sum(task.done_s >= TASK_S for task in fillers)
        fillers = [task for task in fillers if task.done_s < TASK_S]
    return play


def _play_light(added, error, heavy_growth, *, seed):
    """Return the longest time on end over the bound, with work going on.

    Light tasks add to the tail in all; two heavy ones wait for their turn.
    """
    rng = random.Random(seed)
    control, seen, over_s, longest_s = PaceController(), 0.35, 0.0, 0.0
    light_work, heavy = 0.0, [0, 0]
    for number in range(int(PLAYED_S / ROUND_S)):
        control.update(
            headroom_of(seen),
            heavy_count=2,
            heavy_cost=TAKEN_PRESS * sum(heavy) / 100,
        )
        heavy = control.heavy_percents([TAKEN_PRESS] * 2)
        swing = math.sin(2 * math.pi * number * ROUND_S / SWING_S)
        tail = 0.35 + 0.15 * swing + added * control.light_percent / 100
        tail += heavy_growth * sum(heavy) / 100
        is_harm = tail > 1 and (control.light_percent or any(heavy))
        over_s = over_s + ROUND_S if is_harm else 0.0
        longest_s = max(longest_s, over_s)
        light_work += control.light_percent / 100 * ROUND_S
        seen = tail * (1 + rng.uniform(-error, error))
    return longest_s, light_work


class _QueuePlay:
    """What became of heavy tasks beside serving tasks that are queues."""

    __slots__ = ("allowed", "longest_s", "over_s", "work")

    def __init__(self):
        self.allowed = 0.0
        self.longest_s = 0.0
        self.over_s = 0.0
        self.work = 0.0


def _play_queue(low, high, swing_s, taken, wrong, *, seed):
    """Pace four heavy tasks of a load each, with weights that are wrong.

    Work is counted in tasks at full speed and seconds.
    """
    rng = random.Random(seed)
    control, paces, play = PaceController(), [0] * HEAVY_TASKS, _QueuePlay()
    weighed = wrong * taken / REST_SHARE
    phase = rng.uniform(0, 2 * math.pi)
    seen, seen_press, over_s = REST_SHARE / (1 - low), 0.0, 0.0
    for number in range(int(PLAYED_S / ROUND_S)):
        control.update(
            headroom_of(seen),
            heavy_count=HEAVY_TASKS,
            heavy_cost=seen_press,
        )
        paces = control.heavy_percents([weighed] * HEAVY_TASKS)
        turn = math.sin(2 * math.pi * number * ROUND_S / swing_s + phase)
        load = (low + high) / 2 + (high - low) / 2 * turn
        working = sum(paces) / 100
        tail = REST_SHARE / max(LEAST_LEFT, 1 - load - taken * working)
        is_harm = tail > 1 and working > 0
        over_s = over_s + ROUND_S if is_harm else 0.0
        play.longest_s = max(play.longest_s, over_s)
        play.over_s += ROUND_S * is_harm
        play.work += ROUND_S * working
        could = (1 - load - REST_SHARE / ALLOWED_SHARE) / taken
        play.allowed += ROUND_S * max(0.0, min(HEAVY_TASKS, could))
        seen = tail * (1 + rng.uniform(-0.1, 0.1))
        seen_press = weighed * working
    return play


@given(
    "serving tasks whose load swings between {low:g} and {high:g} of what "
    "they can do in {swing_s:g} s"
)
def _swinging(context, low, high, swing_s):
    context.loads = (low, high, swing_s)


@given("heavy filling tasks that take {taken:g} of that each")
def _taking(context, taken):
    context.taken = taken


@when(
    "they are paced with weights that are {wrong:g} times the true ones on "
    "{plays:d} plays"
)
def _paced(context, wrong, plays):
    context.queue_plays = [
        _play_queue(*context.loads, context.taken, wrong, seed=seed)
        for seed in range(plays)
    ]


@then("the bound is never exceeded for 4 s on end beside heavy tasks")
def _no_heavy_harm(context):
    longest_s = max(play.longest_s for play in context.queue_plays)
    assert longest_s < HARM_S, longest_s


@then("it is exceeded for less than a twentieth of the time")
def _seldom(context):
    over_s = sum(play.over_s for play in context.queue_plays)
    played_s = PLAYED_S * len(context.queue_plays)
    assert over_s < played_s / 20, over_s / played_s


@then(
    "they do {share:g} or more of the work that a tail at 0.8 of the bound "
    "allows"
)
def _much_work(context, share):
    work = sum(play.work for play in context.queue_plays)
    allowed = sum(play.allowed for play in context.queue_plays)
    assert work >= share * allowed, work / allowed


@given("light filling tasks that add {added:g} of the bound in all")
def _light(context, added):
    context.added = added


@when("figures are off by up to {error:g} on {plays:d} plays")
def _rough(context, error, plays):
    context.light_plays = [
        _play_light(context.added, error, 0.3, seed=seed)
        for seed in range(plays)
    ]


@then("the bound is never exceeded for 4 s on end beside light tasks")
def _no_light_harm(context):
    longest_s = max(longest_s for longest_s, _ in context.light_plays)
    assert longest_s < HARM_S, longest_s


@then("light tasks work for {share:g} of the time or more")
def _light_work(context, share):
    works_s = [work_s for _, work_s in context.light_plays]
    assert sum(works_s) >= share * PLAYED_S * len(works_s), works_s


@given("a VM whose filling tasks {kind}")
def _vm(context, kind):
    context.growth_of = KINDS[kind.strip()]


@when("the three ways of pacing are played")
def _played(context):
    context.plays = {
        way.__name__: _play(way(), context.growth_of, seed=7)
        for way in (_Controlled, _Unpaced, _Stopped)
    }


@then("the bound is never exceeded for 4 s on end by pace control")
def _no_harm(context):
    longest_s = context.plays["_Controlled"].longest_s
    assert longest_s < HARM_S, longest_s


@then("it is exceeded for less than {harm_s:g} s in all")
def _little_harm(context, harm_s):
    over_s = {name: play.over_s for name, play in context.plays.items()}
    assert over_s["_Controlled"] < harm_s, over_s


@then("at least {tasks:d} tasks are done, where stopping at once ends none")
def _work_done(context, tasks):
    done = {name: play.done for name, play in context.plays.items()}
    assert done["_Stopped"] == 0, done
    assert done["_Controlled"] >= tasks, done
