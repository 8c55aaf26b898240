"""Steps about the judges of a platform site."""

import types

from behave import given
from behave import then
from behave import when

from tests.standin import platform_checks as checks
from tests.standin.platform_runner import TICK_S
from tests.standin.runner_run import RunnerRun
from tests.standin.submission import Submission

STATUSES = {
    "accepted": 200,
    "not answered yet": None,
    "refused": 503,
    "unanswered": 0,
}


@given("a run that began at {started_s:d} s, and tries {tries}")
def _a_run(context, started_s, tries):
    context.record = [
        types.SimpleNamespace(task="j.0.0.0", started_s=started_s)
    ]
    context.submissions = []
    for text in tries.split(", "):
        _, sent_s, _, answer = text.split(" ", 3)
        submission = Submission("j")
        submission.sent_s = int(sent_s)
        submission.status = STATUSES[answer]
        context.submissions.append(submission)


@then("that is {judged}")
def _judged(context, judged):
    findings = checks.refused_runs(context.record, context.submissions)
    assert bool(findings) == (judged == "a fault"), findings


def _make_run(number, spec):
    return RunnerRun(
        task=f"{number:016x}.0.0.0",
        number=1,
        spec=spec,
        checkpoint="",
        worker_id="i-1",
        zone="z0",
    )


@given('a run of "{serve}" beside {count:d} of "{fill}" at a pace of {pace:g}')
def _runs_beside(context, serve, count, fill, pace):
    context.record = [_make_run(0, serve)]
    for number in range(1, count + 1):
        run = _make_run(number, fill)
        run.pace = pace
        context.record.append(run)


@when("their runner works for {played_s:g} s")
def _works(context, played_s):
    added_ms = sum(run.load.added_ms * run.pace for run in context.record)
    for _ in range(round(played_s / TICK_S)):
        for run in context.record:
            run.load.update_latency(added_ms, TICK_S)


@then("a stretch of {max_s:g} s over the target is {found}")
def _stretch(context, max_s, found):
    findings = checks.latency_findings(context.record, max_s=max_s)
    assert bool(findings) == (found == "found"), findings


@then("a runner that holds one such run is not too full")
def _not_too_full(context):
    assert not checks.overcommitted_runners(
        context.record, millicores=1, capacity=1
    )
