"""Steps that play how agents find dispatchers after a loss of power."""

import contextvars
import random
import types
import unittest.mock

import trio
import trio.testing
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.keys import MEMBERS
from radishlanding.membership import Member
from radishlanding.peer import ConnectionLost
from radishlanding.settings import VmAgentSettings
from radishlanding.store import KeyValue
from radishlanding.store import Listing
from radishlanding.store import pack
from radishlanding.vmagent.dispatcher_links import DispatcherLinks
from radishlanding.vmagent.program import VmAgentProgram

ADDRESSES = [f"10.0.0.{number}:7001" for number in range(1, 4)]
LEADER_ADDRESS = ADDRESSES[0]
STORE_CALL_S = 0.004
PLAY_S = 4.0
# The dial function of the agent that a task belongs to.
_dials = contextvars.ContextVar("dials")


class _Play:
    """Agents that dial dispatchers, which listen from some time on."""

    def __init__(self, *, agents, span_s, late_s):
        self._agents = agents
        self._rng = random.Random(1)
        self._span_s = span_s
        self.listening_s = span_s + late_s
        # When each agent first dialled the one that leads, and listened.
        self.found_s = {}

    async def list(self, _prefix, *, is_stale_ok):
        """Return the members as the store lists them."""
        await trio.sleep(STORE_CALL_S)
        is_new = trio.current_time() >= self.listening_s
        items = []
        for number, address in enumerate(ADDRESSES):
            # Those of before the loss stay registered for a while.
            member = Member(
                kind="dispatcher",
                process_id=f"{number}-{'new' if is_new else 'old'}",
                zone="z0",
                address=address,
            )
            items.append(
                KeyValue(
                    key=f"{MEMBERS}{number}", value=pack(member), version=1
                )
            )
        return Listing(items=items, revision=1)

    async def _run_agent(self, number):
        await trio.sleep(self._rng.uniform(0, self._span_s))
        program = VmAgentProgram(
            cfg=VmAgentSettings(
                id=f"vm{number}",
                zone="z0",
                store="127.0.0.1:1",
                report_listen="127.0.0.1:0",
                seeds=ADDRESSES,
                peer_port=7001,
            )
        )
        program._store = types.SimpleNamespace(list=self.list)

        async def dial(*, address):
            await trio.sleep(0.001)
            if trio.current_time() < self.listening_s:
                raise ConnectionLost("refused", was_sent=False)
            if address == LEADER_ADDRESS:
                self.found_s.setdefault(number, trio.current_time())
            await trio.sleep_forever()

        _dials.set(dial)
        async with trio.open_nursery() as nursery:
            program._links.open(nursery)
            await program._maintain_links()

    async def _run(self):
        with trio.move_on_after(self.listening_s + PLAY_S):
            async with trio.open_nursery() as nursery:
                for number in range(self._agents):
                    nursery.start_soon(self._run_agent, number)

    def run(self):
        """Return how long after the start of the dispatchers they are found.

        :returns: Seconds for each agent.
        """
        random.seed(1)
        with (
            unittest.mock.patch(
                "radishlanding.peer.link.dial",
                lambda **kwargs: _dials.get()(**kwargs),
            ),
            unittest.mock.patch(
                "radishlanding.vmagent.program.boot_clock_s",
                trio.current_time,
            ),
        ):
            clock = trio.testing.MockClock(autojump_threshold=0)
            clock.jump(-clock.current_time())
            trio.run(self._run, clock=clock)
        assert len(self.found_s) == self._agents
        return [at_s - self.listening_s for at_s in self.found_s.values()]


@given("{count:d} agents that start within {span_s:g} s")
def _agents(context, count, span_s):
    context.make_play = lambda late_s: _Play(
        agents=count, span_s=span_s, late_s=late_s
    )


@when("3 dispatchers listen and register {late_s:g} s later")
def _listen(context, late_s):
    context.delays_s = context.make_play(late_s).run()
    with unittest.mock.patch.object(DispatcherLinks, "retry"):
        context.earlier_s = context.make_play(late_s).run()
    for delays_s in (context.delays_s, context.earlier_s):
        print("s", sum(delays_s) / len(delays_s), max(delays_s))


@then("each agent has dialled the one that leads within {limit_s:g} s")
def _found(context, limit_s):
    assert max(context.delays_s) <= limit_s, max(context.delays_s)


@then("by the earlier decision some did so after {late_s:g} s or later")
def _found_late(context, late_s):
    assert max(context.earlier_s) >= late_s, max(context.earlier_s)
