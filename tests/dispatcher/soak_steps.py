"""Steps about a short run of the soak."""

import trio
from behave import given
from behave import then
from behave import when

from tests.soak import play


@given("a platform site of its own under seed {seed:d}")
def _a_seed(context, seed):
    context.seed = seed


@when("random faults are played over it for {seconds:d} s")
def _played(context, seconds):
    context.findings = trio.run(play, context.seed, float(seconds))


@then("callers and workers saw nothing that breaks a promise")
def _nothing_found(context):
    assert not context.findings, context.findings[:5]
