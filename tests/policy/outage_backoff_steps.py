"""Steps about when callers come back."""

import collections
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import OutageBackoff

BEGAN_S = 100.0


@given("an outage of {outage_s:g} s")
def _outage(context, outage_s):
    context.comeback = OutageBackoff(rng=random.Random(5))
    context.comeback.record_failure(BEGAN_S)
    context.now_s = BEGAN_S + outage_s


@when("a question is answered")
def _answered(context):
    context.comeback.record_success()


@when("{count:d} callers are refused")
def _refused(context, count):
    context.comeback.record_failure(context.now_s)
    context.drawn = collections.Counter(
        context.comeback.retry_after_s(context.now_s) for _ in range(count)
    )


@then("they come back after {least_s:d} to {most_s:d} s")
def _come_back(context, least_s, most_s):
    assert min(context.drawn) == least_s, context.drawn
    assert max(context.drawn) == most_s, context.drawn


@then("each of {kinds:d} times is drawn by {count:d} callers or more")
def _spread(context, kinds, count):
    assert len(context.drawn) == kinds, context.drawn
    assert min(context.drawn.values()) >= count, context.drawn
