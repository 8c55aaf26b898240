"""Steps for the time that attempts work at full pace."""

import itertools

from behave import given
from behave import then
from behave import when

from radishlanding.policy import WorkMeter

RUN_S = 4.0


@given("an attempt from {first:d} % that restores for {restore_ms:d} ms")
def _attempt(context, first, restore_ms):
    context.meter, context.reports = WorkMeter(), []
    context.first, context.restore_s = first, restore_ms / 1000


@when(
    "it is listed every {interval_ms:d} ms, at paces of {paces} % in turn, "
    "and its end {late_s:d} s late"
)
def _list(context, interval_ms, paces, late_s):
    work, now_s = float(context.first), 0.0
    # A pace changes with a listing, as the control loop does it.
    for pace in itertools.cycle(map(int, paces.split(" and "))):
        restored_s = min(context.restore_s, interval_ms / 1000)
        context.restore_s -= restored_s
        gained = (interval_ms / 1000 - restored_s) * pace / RUN_S
        if work + gained >= 100:
            now_s += restored_s + (100 - work) * RUN_S / pace + late_s
            context.meter.finish(pace_percent=pace, now_s=now_s)
            context.reports.append((context.meter.full_pace_ms, 100))
            return
        work, now_s = work + gained, now_s + interval_ms / 1000
        resumes = context.first > 0
        context.meter.observe(
            int(work), pace_percent=pace, resumes=resumes, now_s=now_s
        )
        context.reports.append((context.meter.full_pace_ms, int(work)))


@when("it is listed at an unknown pace")
def _list_unknown(context):
    for progress in (10, 20):
        context.meter.observe(
            progress, pace_percent=None, resumes=False, now_s=progress
        )


@then("its counted time and its progress give 4 s within {percent:d} %")
def _rate(context, percent):
    counted = [report for report in context.reports if report[0]]
    (first_ms, first), (last_ms, last) = counted[0], counted[-1]
    found_s = (last_ms - first_ms) / 10 / (last - first)
    assert abs(found_s / RUN_S - 1) <= percent / 100, context.reports


@then("no time is counted")
def _none_counted(context):
    assert context.meter.full_pace_ms == 0
