"""Steps about the connections of agents to dispatchers."""

import collections

from behave import given
from behave import then

from radishlanding.policy import choose_standby


@given("{count:d} dispatchers, of which {which} leads")
def _dispatchers(context, count, which):
    context.addresses = [f"10.0.{number}.1:7" for number in range(count)]
    context.leader = context.addresses[0] if which == "the first" else None


@then("each of {agents:d} agents stays connected with {count:d}")
def _stay_connected(context, agents, count):
    context.chosen = [
        choose_standby(f"vm-{n}", context.addresses, leader=context.leader)
        for n in range(agents)
    ]
    assert {len(chosen) for chosen in context.chosen} == {count}


@then("each is connected with the leader")
def _leader_connected(context):
    assert all(context.leader in chosen for chosen in context.chosen)


@then("each other dispatcher has {minimum:d} agents or more")
def _agents_spread(context, minimum):
    counts = collections.Counter(
        address for chosen in context.chosen for address in chosen
    )
    assert len(counts) == len(context.addresses), counts
    assert min(counts.values()) >= minimum, counts
