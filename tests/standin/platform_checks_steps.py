"""Steps about the judges of a platform site."""

import types

from behave import given
from behave import then

from tests.standin import platform_checks as checks
from tests.standin.submission import Submission

STATUSES = {
    "accepted": 200,
    "not answered yet": None,
    "refused": 503,
    "unanswered": 0,
}


@given("a run that began at {began_s:d} s, and tries {tries}")
def _a_run(context, began_s, tries):
    context.record = [types.SimpleNamespace(task="j.0.0.0", began_s=began_s)]
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
