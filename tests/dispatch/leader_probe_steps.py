"""Steps for the probe of a leader."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch.leader_probe import LeaderProbe
from radishlanding.membership import Member
from radishlanding.message import LeaderAway
from radishlanding.message import ProcessSummary
from radishlanding.message import StatusAnswer
from radishlanding.observe import Counters
from radishlanding.peer import PeerServer
from radishlanding.vm import boot_clock_s

MAX_CONNECTIONS = 5
TIMEOUT_S = 2.0
CONFIRM_WAIT_S = 0.2


class FakeLeader:
    """A process that answers with its identity until it is ended."""

    __slots__ = ("_scope", "port", "process_id", "server")

    def __init__(self, process_id):
        """Initialise the process; :meth:`run` listens.

        :param process_id: Identity of the process.
        """
        self._scope = trio.CancelScope()
        self.port = 0
        self.process_id = process_id
        self.server = PeerServer(
            handler=self, counters=Counters(), max_connections=MAX_CONNECTIONS
        )

    async def run(self, port, *, task_status=trio.TASK_STATUS_IGNORED):
        """Listen until ended."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                self.port = await nursery.start(
                    functools.partial(
                        self.server.run, host="127.0.0.1", port=port
                    )
                )
                task_status.started()

    def end(self):
        """Close the port and every connection."""
        self._scope.cancel()

    async def handle(self, _message, _conn):
        """Answer with the identity of the process."""
        summary = ProcessSummary(
            kind="dispatcher",
            process_id=self.process_id,
            zone="bole",
            revision=1,
        )
        return StatusAnswer(processes=[summary])

    async def connected(self, _conn):
        """Do nothing."""

    def disconnected(self, _conn):
        """Do nothing."""


@given("a probe that has seen a process lead for {led_s:g} s")
def _a_probe(context, led_s):
    context.bridge.call(_open_probe, context, led_s)


async def _open_probe(context, led_s):
    nursery = context.bridge.nursery
    context.leader = FakeLeader("a")
    await nursery.start(context.leader.run, 0)
    context.member = Member(
        kind="dispatcher",
        process_id="a",
        zone="bole",
        address=f"127.0.0.1:{context.leader.port}",
    )
    context.probe = LeaderProbe(counters=Counters())
    nursery.start_soon(context.probe.run)
    seen_s = boot_clock_s()
    context.probe.follow(context.member, version=1)
    with trio.fail_after(TIMEOUT_S):
        while context.probe.conn is None:
            await trio.sleep(0.01)
    await trio.sleep(max(0.0, seen_s + led_s - boot_clock_s()))


@when("the process dies")
def _dies(context):
    async def end():
        context.leader.end()

    context.bridge.call(end)


@when("the process loses its address to another process")
def _loses_address(context):
    _dies(context)
    other = FakeLeader("b")
    context.bridge.call(
        context.bridge.nursery.start, other.run, context.leader.port
    )


@when("the process reports that it has lost the store")
def _lost_store(context):
    context.bridge.call(
        context.leader.server.broadcast, LeaderAway(process_id="a")
    )


@when("another process leads for {led_s:g} s and dies")
def _another_dies(context, led_s):
    context.bridge.call(_until_gone, context)
    context.bridge.call(_lead_and_die, context, led_s)


async def _lead_and_die(context, led_s):
    await trio.sleep(CONFIRM_WAIT_S)
    context.leader = FakeLeader("b")
    await context.bridge.nursery.start(context.leader.run, 0)
    context.member = Member(
        kind="dispatcher",
        process_id="b",
        zone="bole",
        address=f"127.0.0.1:{context.leader.port}",
    )
    context.probe.follow(context.member, version=1)
    await trio.sleep(led_s)
    context.leader.end()


@then("within 2 s the probe reports it as gone")
def _is_gone(context):
    context.bridge.call(_until_gone, context)


async def _until_gone(context):
    with trio.fail_after(TIMEOUT_S):
        while not context.probe.is_gone(context.member, version=1):
            await trio.sleep(0.01)
