"""Steps for the time that attempts work at full pace."""

import itertools

from behave import given
from behave import then
from behave import when

from radishlanding.policy import WorkMeter

# The worker's clock at the start of the attempt; any will do.
START_S = 50.0
# Enough for the slowest of the attempts.
MAX_LISTINGS = 60


@given("an attempt that takes {run_s:g} s at full pace, from nothing")
def _attempt(context, run_s):
    _begin(context, run_s, first=0.0, restore_ms=0)


@given(
    "an attempt that takes {run_s:g} s at full pace, from {first:g} % after "
    "{restore_ms:d} ms"
)
def _resumed(context, run_s, first, restore_ms):
    _begin(context, run_s, first=first, restore_ms=restore_ms)


def _begin(context, run_s, *, first, restore_ms):
    context.meter = WorkMeter()
    context.run_s, context.first = run_s, first
    context.restore_s = restore_ms / 1000
    context.reports = []


@when("it is listed every {interval_ms:d} ms, at paces of {paces} % in turn")
def _list(context, interval_ms, paces):
    work = context.first
    now_s, left_s = START_S, context.restore_s
    cycle = itertools.cycle(map(int, paces.split(" and ")))
    # The first listing comes while the attempt already runs.
    for interval_s, pace in zip(
        itertools.repeat(interval_ms / 1000, MAX_LISTINGS), cycle, strict=False
    ):
        # The pace changes with a listing, as the control loop does it.
        restored_s = min(left_s, interval_s)
        left_s -= restored_s
        gained = (interval_s - restored_s) * pace / context.run_s
        if work + gained >= 100:
            # A poll answers as soon as an attempt has ended.
            now_s += restored_s + (100 - work) * context.run_s / pace
            context.end = (pace, now_s)
            break
        work += gained
        now_s += interval_s
        context.meter.observe(
            int(work),
            pace_percent=pace,
            resumes=context.first > 0,
            now_s=now_s,
        )
        context.reports.append((context.meter.full_pace_ms, int(work)))


@when("its end is listed {late_s:g} s late")
def _finish(context, late_s):
    pace, now_s = context.end
    context.meter.finish(pace_percent=pace, now_s=now_s + late_s)
    context.reports.append((context.meter.full_pace_ms, 100))


@when("it is listed at an unknown pace for {listed_s:g} s")
def _list_unknown(context, listed_s):
    for number in range(int(listed_s * 2)):
        context.meter.observe(
            10 * number,
            pace_percent=None,
            resumes=False,
            now_s=START_S + number / 2,
        )


@then(
    "its counted time and its progress give {run_s:g} s within {percent:g} %"
)
def _rate(context, run_s, percent):
    counted = [report for report in context.reports if report[0]]
    (first_ms, first), (last_ms, last) = counted[0], counted[-1]
    found_s = (last_ms - first_ms) / 10 / (last - first)
    assert abs(found_s / run_s - 1) <= percent / 100, context.reports


@then("no time is counted")
def _none_counted(context):
    assert context.meter.full_pace_ms == 0
