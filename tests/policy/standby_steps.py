"""Steps about the dispatchers that agents stay connected with."""

import collections

from behave import given
from behave import then

from radishlanding.policy import choose_standby


@given("{count:d} dispatchers, of which {which} leads")
def _dispatchers(context, count, which):
    context.addresses = [f"10.0.{number}.1:7" for number in range(count)]
    context.leader = context.addresses[0] if which == "the first" else None


@then("each of {agents:d} agents stays connected with {count:d}")
def _stays(context, agents, count):
    context.chosen = [
        choose_standby(f"vm-{at}", context.addresses, leader=context.leader)
        for at in range(agents)
    ]
    assert {len(chosen) for chosen in context.chosen} == {count}


@then("each has the leader")
def _has_leader(context):
    assert all(context.leader in chosen for chosen in context.chosen)


@then("each other dispatcher has {least:d} agents or more")
def _has_agents(context, least):
    counts = collections.Counter(
        address for chosen in context.chosen for address in chosen
    )
    assert len(counts) == len(context.addresses), counts
    assert min(counts.values()) >= least, counts
