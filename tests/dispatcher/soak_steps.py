"""Steps for a short run of the soak test."""

import trio
from behave import given
from behave import then
from behave import when

from tests.soak import run_seed


@given("a separate platform site with seed {seed:d}")
def _a_seed(context, seed):
    context.seed = seed


@when("random faults are injected into it for {seconds:d} s")
def _inject_faults(context, seconds):
    context.findings = trio.run(run_seed, context.seed, float(seconds))


@then("callers and workers saw no violation of a guarantee")
def _no_findings(context):
    assert not context.findings, context.findings[:5]
