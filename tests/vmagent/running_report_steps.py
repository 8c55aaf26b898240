"""Steps for the reports of attempts that may run."""

from behave import given
from behave import then

from radishlanding.vmagent.task_attempt import TaskAttempt

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


@then("its report says that it is {reported:w}")
def _reported(context, reported):
    is_unconfirmed = context.attempt.running_report().is_unconfirmed
    assert is_unconfirmed == (reported == "unconfirmed")
