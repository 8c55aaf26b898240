"""Steps for the reports of attempts that may run."""

from behave import given
from behave import then
from behave import when

from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.attempt_table import AttemptTable
from radishlanding.vmagent.task_attempt import TaskAttempt
from radishlanding.worker import AttemptListing
from radishlanding.worker import EndedAttempt
from radishlanding.workflow import EndKind

STATES = {
    "was ordered": {},
    "was started": {"is_confirmed": True, "has_started": True},
    "is listed by the worker": {"is_confirmed": True, "is_listed": True},
    "was listed by the boot before": {"is_listed": True},
    "was given up, and its stop is acknowledged": {
        "is_confirmed": True,
        "not_run_reason": "unanswered",
    },
    "was not started, and its stop is acknowledged": {"is_confirmed": True},
    "was given up, and is listed by the worker": {
        "is_confirmed": True,
        "is_listed": True,
        "not_run_reason": "unanswered",
    },
}


@given("an attempt that {state}")
def _attempt(context, state):
    context.attempt = TaskAttempt(
        task_id="0123456789abcdef.0.0.0", attempt=1, **STATES[state]
    )
    context.attempts = AttemptTable()
    context.attempts.add(context.attempt)


@then("its report says that it is {reported:w}")
def _reported(context, reported):
    is_unconfirmed = context.attempt.running_report().is_unconfirmed
    assert is_unconfirmed == (reported == "unconfirmed")


@when("its worker is lost")
def _lost(context):
    context.attempts.end_all(reason="the worker does not answer")


@when("a list of its worker shows it first as stopped")
def _listed_as_stopped(context):
    now_s = boot_clock_s()
    end = EndedAttempt(
        number=1,
        task_id=context.attempt.task_id,
        attempt=1,
        kind=EndKind.INTERRUPTED,
        reason="stopped",
        checkpoint="",
    )
    listing = AttemptListing(
        clock_ms=1, born_ms=1, running=[], ended=[end], is_complete=True
    )
    context.attempts.apply_listing(listing, sent_s=now_s, now_s=now_s)


@then("the report of its end says that it {reported}")
def _end_reported(context, reported):
    assert context.attempt.end_report().has_run == (reported == "has run")
