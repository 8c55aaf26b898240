"""Steps about serving tasks beside filling tasks on a platform site."""

import trio
from behave import given
from behave import then
from behave import when

from tests.standin import platform_checks as checks

# At rest a third of the target; two filling tasks at full pace exceed it.
SERVE = "serve 50 150"
FILL = "fill 60 6"
TARGET_MS = 150
FILLERS = 6
# Long enough to bring the figures below the target, and to learn images.
SETTLE_S = 3.0
# As long again as a stretch may be, for one that begins late.
PLAYED_S = 9.0
START_TIMEOUT_S = 8.0


async def _fill(site, batch):
    """Hand in filling tasks, each with an image of its own."""
    for number in range(FILLERS):
        await site.submit_surely(
            f"f{batch}{number:014x}",
            [
                {
                    "count": 1,
                    "cpu": 300,
                    "estimatedMs": 6000,
                    "fills": True,
                    "checkpointing": True,
                    "image": f"image-{batch}-{number}",
                }
            ],
            spec=FILL,
        )


async def _wait_running(site, prefix, count):
    with trio.move_on_after(START_TIMEOUT_S):
        while len(_runs(site, prefix)) < count:
            await trio.sleep(0.05)
    runs = _runs(site, prefix)
    assert len(runs) >= count, f"{len(runs)} of {count} runs of {prefix!r}"


def _runs(site, prefix):
    return [run for run in site.record if run.task.startswith(prefix)]


@given(
    "a platform site whose VM runs a serving task beside filling tasks that "
    "disturb it"
)
def _a_site(context):
    context.platform_site = context.bridge.open_platform_site(machines=1)
    context.bridge.call(_begin, context.platform_site)


async def _begin(site):
    step = {
        "count": 1,
        "cpu": 4000,
        "longRunning": True,
        "targetMs": TARGET_MS,
        "image": "desk",
    }
    await site.submit_surely("5" * 16, [step], spec=SERVE)
    await _wait_running(site, "5" * 16, 1)
    await _fill(site, 0)
    await _wait_running(site, "f0", FILLERS)
    await trio.sleep(SETTLE_S)


@when("more filling tasks that disturb it are handed in")
def _more(context):
    context.bridge.call(_add, context.platform_site)


async def _add(site):
    await _fill(site, 1)
    await _wait_running(site, "f1", FILLERS)
    await trio.sleep(PLAYED_S)


@then("no serving task was over its target for {harm_s:d} s on end")
def _no_harm(context, harm_s):
    findings = checks.harmed(context.platform_site.record, harm_s=harm_s)
    assert not findings, findings


@then("the filling tasks of before and after go on")
def _go_on(context):
    site = context.platform_site
    for prefix in ("f0", "f1"):
        done_s = sum(run.progress_s for run in _runs(site, prefix))
        assert done_s > 0, f"{prefix}: no progress"
