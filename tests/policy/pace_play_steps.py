"""Steps that play the pace of filling tasks on one VM."""

import math
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import PaceControl

ROUND_S = 0.6
PLAYED_S = 120.0
# Figures of the platform's pages: what a task needs, how many come a second
# on one VM of a site, how the load of serving tasks swings.
TASK_S = 5.4
TASKS_PER_S = 0.9
MAX_TASKS = 8
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
    """Paces by :class:`PaceControl`, for tasks that are known as heavy."""

    __slots__ = ("_control",)

    def __init__(self):
        self._control = PaceControl()

    def paces(self, share, fillers):
        """Return the pace of each task."""
        self._control.update(share, heavy_count=len(fillers))
        return self._control.heavy_percents(len(fillers))


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
    control, seen, over_s, longest_s = PaceControl(), 0.35, 0.0, 0.0
    light_work = 0.0
    for number in range(int(PLAYED_S / ROUND_S)):
        control.update(seen, heavy_count=2)
        heavy = control.heavy_percents(2)
        swing = math.sin(2 * math.pi * number * ROUND_S / SWING_S)
        tail = 0.35 + 0.15 * swing + added * control.light_percent / 100
        tail += heavy_growth * sum(heavy) / 100
        is_harm = tail > 1 and (control.light_percent or any(heavy))
        over_s = over_s + ROUND_S if is_harm else 0.0
        longest_s = max(longest_s, over_s)
        light_work += control.light_percent / 100 * ROUND_S
        seen = tail * (1 + rng.uniform(-error, error))
    return longest_s, light_work


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
