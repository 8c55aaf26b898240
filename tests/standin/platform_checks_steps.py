"""Steps for the checks of a platform site."""

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


@given("a run started at {started_s:d} s, with submissions {submissions}")
def _a_run(context, started_s, submissions):
    context.record = [
        types.SimpleNamespace(task="j.0.0.0", started_s=started_s)
    ]
    context.submissions = []
    for text in submissions.split(", "):
        _, sent_s, _, answer = text.split(" ", 3)
        submission = Submission("j")
        submission.sent_s = int(sent_s)
        submission.status = STATUSES[answer]
        context.submissions.append(submission)


@then("the check of refused jobs reports {verdict}")
def _check_reports(context, verdict):
    findings = checks.refused_runs(context.record, context.submissions)
    assert bool(findings) == (verdict == "a violation"), findings


def _make_run(number, spec):
    return RunnerRun(
        task=f"{number:016x}.0.0.0",
        number=1,
        spec=spec,
        checkpoint="",
        worker_id="i-1",
        zone="z0",
    )


@given(
    'a run of "{serving}" and {count:d} runs of "{best_effort}" at pace '
    "{pace:g}"
)
def _concurrent_runs(context, serving, count, best_effort, pace):
    context.record = [_make_run(0, serving)]
    for number in range(1, count + 1):
        run = _make_run(number, best_effort)
        run.pace = pace
        context.record.append(run)


@when("these runs last for {duration_s:g} s")
def _runs_last(context, duration_s):
    added_ms = sum(run.load.added_ms * run.pace for run in context.record)
    for _ in range(round(duration_s / TICK_S)):
        for run in context.record:
            run.load.update_latency(added_ms, TICK_S)


@then("a latency violation of {max_s:g} s is {verdict}")
def _latency_violation(context, max_s, verdict):
    findings = checks.latency_findings(context.record, max_s=max_s)
    assert bool(findings) == (verdict == "reported"), findings


@then("a runner with capacity for one task is not overcommitted")
def _not_overcommitted(context):
    assert not checks.overcommitted_runners(
        context.record, millicores=1, capacity=1
    )
