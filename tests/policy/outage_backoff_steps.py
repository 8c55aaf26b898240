"""Steps about the retry delays of refused callers."""

import collections
import random

from behave import given
from behave import then
from behave import when

from radishlanding.policy import OutageBackoff

START_S = 100.0


@given("an outage of {outage_s:g} s")
def _outage(context, outage_s):
    context.backoff = OutageBackoff(rng=random.Random(5))
    context.backoff.record_failure(START_S)
    context.now_s = START_S + outage_s


@when("a call is answered")
def _answer(context):
    context.backoff.record_success()


@when("{count:d} callers are refused")
def _refuse(context, count):
    context.backoff.record_failure(context.now_s)
    context.delays = collections.Counter(
        context.backoff.retry_after_s(context.now_s) for _ in range(count)
    )


@then("they retry after {min_s:d} to {max_s:d} s")
def _range_of_delays(context, min_s, max_s):
    assert min(context.delays) == min_s, context.delays
    assert max(context.delays) == max_s, context.delays


@then("each of {kinds:d} delays is given to {count:d} callers or more")
def _spread_of_delays(context, kinds, count):
    assert len(context.delays) == kinds, context.delays
    assert min(context.delays.values()) >= count, context.delays
