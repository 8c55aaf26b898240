"""Steps about the connections of agents to dispatchers."""

import collections

from behave import given
from behave import then
from behave import when

from radishlanding.policy import LeaderSearch

NO_LEADER = {"leader": None, "hints": set()}


@given("{count:d} dispatchers, of which {which} leads")
def _dispatchers(context, count, which):
    context.addresses = [f"10.0.{number}.1:7" for number in range(count)]
    context.leader = context.addresses[0] if which == "the first" else None


@then("each of {agents:d} agents stays connected with {count:d}")
def _stay_connected(context, agents, count):
    context.chosen = [
        LeaderSearch(own_id=f"vm-{n}").addresses(
            context.addresses, leader=context.leader, hints=set(), now_s=0
        )
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


@then("each of {agents:d} agents is connected with {count:d} at first")
def _at_first(context, agents, count):
    context.searches = [LeaderSearch(own_id=f"vm-{n}") for n in range(agents)]
    context.chosen = [
        search.addresses(context.addresses, now_s=0, **NO_LEADER)
        for search in context.searches
    ]
    assert {len(chosen) for chosen in context.chosen} == {count}


@then("each of them is connected with all of them within {within_s:g} s")
def _all_in_time(context, within_s):
    for search in context.searches:
        chosen = search.addresses(
            context.addresses, now_s=within_s, **NO_LEADER
        )
        assert chosen == set(context.addresses), len(chosen)


@when("the third is named as the leader {delay_s:g} s later")
def _named(context, delay_s):
    context.named = context.addresses[2]
    context.named_at_s = delay_s


@then("each of {agents:d} agents is connected with the third")
def _connected_with_named(context, agents):
    context.dials = []
    for number in range(agents):
        search = LeaderSearch(own_id=f"vm-{number}")
        dialled = search.addresses(context.addresses, now_s=0, **NO_LEADER)
        dialled |= search.addresses(
            context.addresses,
            leader=None,
            hints={context.named},
            now_s=context.named_at_s,
        )
        assert context.named in dialled
        context.dials.append(len(dialled))


@then(
    "all agents together dial at most {most:d} times, {all_dials:d} times "
    "without the search"
)
def _few_dials(context, most, all_dials):
    assert sum(context.dials) <= most, sum(context.dials)
    assert len(context.dials) * len(context.addresses) == all_dials


@when("the third is named as the leader")
def _third_named(context):
    context.named = context.addresses[2]


@then(
    "each of {agents:d} agents is connected with both, and with {most:d} at "
    "most"
)
def _connected_with_both(context, agents, most):
    for number in range(agents):
        chosen = LeaderSearch(own_id=f"vm-{number}").addresses(
            context.addresses,
            leader=context.leader,
            hints={context.named},
            now_s=0,
        )
        assert {context.leader, context.named} <= chosen, chosen
        assert len(chosen) <= most, chosen
