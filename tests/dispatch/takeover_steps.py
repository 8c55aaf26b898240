"""Steps for a leader that is replaced and does not know of it."""

import dataclasses

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch import Candidate
from radishlanding.dispatch import EntryLog
from radishlanding.dispatch import keys
from radishlanding.dispatch import Succession
from radishlanding.dispatcher.handler import DispatcherHandler
from radishlanding.membership import Member
from radishlanding.message import VmHello
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.policy import Interference
from radishlanding.policy import StrongestFirst
from radishlanding.store import pack
from radishlanding.store import PrefixWatch
from radishlanding.store import StoreUnavailable
from radishlanding.store import Write
from radishlanding.vm import boot_clock_s
from radishlanding.vm import LeaseTiming
from radishlanding.vm import VmLease
from radishlanding.vmagent.report_sender import ReportSender
from tests.dispatch.entry_log_steps import make_store
from tests.dispatch.leader_probe_steps import FakeLeader
from tests.dispatch.leader_steps import make_leader
from tests.standin.open_platform import open_platform_store

VM = "vm1"
TIMING = LeaseTiming(vm_lease_s=1.0, owner_grace_s=0.5, drift_s=0.2)
REPORT_INTERVAL_S = 0.03
# Reports of the agent that renew its lease before the fault.
RENEWED_S = 0.3
# Nobody listens there.
REFUSING_ADDRESS = "127.0.0.1:9"
STORE_LEASE_S = 20
TIMEOUT_S = 5.0
# A process has read the leader's key by then.
CUT_AFTER_S = 0.05


class CuttableStore:
    """A store that cannot be reached while it is cut off."""

    __slots__ = ("_store", "answers_reads", "is_cut")

    def __init__(self, store):
        """Initialise it as reachable.

        :param store: A :class:`radishlanding.store.TransactionalStore`.
        """
        self._store = store
        # Whether keys can be read and watched nevertheless.
        self.answers_reads = False
        self.is_cut = False

    def __getattr__(self, name):
        """Return a method of the store that fails while it is cut off."""
        method = getattr(self._store, name)

        def check():
            is_read = self.answers_reads and name != "transact"
            if self.is_cut and not is_read:
                raise StoreUnavailable("cut off", was_sent=False)

        async def call(*args, **kwargs):
            check()
            answer = await method(*args, **kwargs)
            check()
            return answer

        return call


class Registration:
    """A registration whose lease is there."""

    __slots__ = ("lease",)

    def __init__(self, lease):
        """Initialise it with a lease of the store."""
        self.lease = lease


class AgentState:
    """The state of an agent that reports all the time."""

    __slots__ = ("can_report", "fence", "has_synced", "lease", "vm")

    def __init__(self):
        """Initialise it without a lease."""
        self.can_report = True
        self.fence = 0
        self.has_synced = True
        self.lease = VmLease(duration_s=TIMING.vm_lease_s)
        self.vm = VM

    @property
    def pacer(self):
        """Return what takes weights and precedence, and drops them."""
        return self

    @property
    def table(self):
        """Return what takes orders, and drops them."""
        return self

    is_active = True

    async def wait_changed(self):
        """Wait until the next report."""
        await trio.sleep(REPORT_INTERVAL_S)

    def state(self):
        """Return the state of the VM."""
        return VmState(boot="b")

    def running_reports(self):
        """Return no attempts."""
        return []

    def end_reports(self):
        """Return no ends."""
        return []

    def attach_orders(self, _orders):
        """Do nothing."""

    def update_weights(self, _weights):
        """Do nothing."""

    def update_precedence(self, _precedence):
        """Do nothing."""

    def notify(self):
        """Do nothing."""


class AgentConnection:
    """A connection from an agent to a dispatcher in the same process."""

    __slots__ = ("_handler", "_reads_proof_age", "peer")

    def __init__(self, handler, *, reads_proof_age):
        """Initialise it.

        :param handler: The :class:`DispatcherHandler`.
        :param reads_proof_age: Whether the agent is of the present build.
        """
        self._handler = handler
        self._reads_proof_age = reads_proof_age
        self.peer = "leader"

    async def call(self, message, *, timeout_s):
        """Return the answer, as an agent of its build reads it."""
        answer = await self._handler.handle(message, self)
        if not self._reads_proof_age and not isinstance(message, VmHello):
            answer = dataclasses.replace(answer, proof_age_ms=0)
        return answer


class AgentLinks:
    """The links of an agent that follows one leader."""

    __slots__ = ("leader_conn",)

    def __init__(self, conn):
        """Initialise them with the connection to the leader."""
        self.leader_conn = conn


class LeadingCandidate:
    """A candidate that leads."""

    __slots__ = ("leader",)

    def __init__(self, leader):
        """Initialise it with its leader."""
        self.leader = leader


def _member(name, address=REFUSING_ADDRESS):
    return Member(
        kind="dispatcher", process_id=name, zone="z0", address=address
    )


@given("a leader that an agent of {build} follows")
def _a_leader(context, build):
    context.interference = Interference()
    context.reads_proof_age = build == "the same build"
    context.bridge.call(_open_leader, context)


async def _open_leader(context):
    nursery = context.bridge.nursery
    _, context.store_address = await open_platform_store(nursery)
    context.leader_store = CuttableStore(make_store(context.store_address))
    lease = await context.leader_store.grant(ttl_s=STORE_LEASE_S)
    log = EntryLog(store=context.leader_store)
    registry = await log.claim(
        process_id="a",
        leader_write=Write(
            key=keys.LEADER, value=pack(_member("a")), lease=lease
        ),
        leader_version=0,
    )
    context.leader = make_leader(
        context, log=log, registry=registry, timing=TIMING
    )
    nursery.start_soon(context.leader.run)
    handler = DispatcherHandler(member=_member("a"), site_watch=None)
    handler.set_candidate(LeadingCandidate(context.leader))
    await _open_agent(context, handler)


async def _open_agent(context, handler):
    conn = AgentConnection(handler, reads_proof_age=context.reads_proof_age)
    context.agent = AgentState()
    hello = VmHello(
        vm=VM,
        epoch=0,
        clock_ms=1,
        state=context.agent.state(),
        reads_proof_age=context.reads_proof_age,
    )
    welcome = await conn.call(hello, timeout_s=TIMEOUT_S)
    context.agent.fence = welcome.fence
    sender = ReportSender(links=AgentLinks(conn), supervisor=context.agent)
    context.bridge.nursery.start_soon(sender.run)
    await trio.sleep(RENEWED_S)
    assert context.agent.lease.remaining_s() > 0


@when(
    "the leader is cut off from the store and the next leader, but not from "
    "the agent"
)
def _cut_off(context):
    context.leader_store.is_cut = True


@when("the next one claims the log {wait_s:g} s later")
def _claims(context, wait_s):
    context.bridge.call(_claim, context, wait_s)


async def _claim(context, wait_s):
    await trio.sleep(wait_s)
    await _open_next(context, make_store(context.store_address))
    await _until_leads(context)
    context.claimed_s = boot_clock_s()


async def _open_next(context, store):
    """Start a process that claims the log once nobody leads."""
    nursery = context.bridge.nursery
    site_keys = PrefixWatch(store=store, prefix=keys.SITE)
    nursery.start_soon(site_keys.run)
    lease = await store.grant(ttl_s=STORE_LEASE_S)

    def make(**recovered):
        return make_leader(context, timing=TIMING, **recovered)

    member = _member("b", "127.0.0.1:10")
    context.next = Candidate(
        store=store,
        member=member,
        site_keys=site_keys,
        registration=Registration(lease),
        make_leader=make,
        on_change=trio.lowlevel.checkpoint,
        counters=Counters(),
        grace_s=TIMING.owner_grace_s,
        succession=Succession(
            policy=StrongestFirst(),
            member=member,
            site_keys=site_keys,
            counters=Counters(),
        ),
    )
    nursery.start_soon(context.next.run)


@then("it takes the VM for lost after the last lease of the agent has ended")
def _lost_after_lease(context):
    context.bridge.call(_until_lost, context)


async def _until_lost(context):
    with trio.fail_after(TIMEOUT_S):
        while not context.next.leader.fleet.has_lost(VM):
            await trio.sleep(0.005)
    context.lost_s = boot_clock_s()
    remaining_s = context.agent.lease.remaining_s()
    assert remaining_s == 0, remaining_s


@then("at most {limit_s:g} s after the claim")
def _lost_soon(context, limit_s):
    waited_s = context.lost_s - context.claimed_s
    assert waited_s <= limit_s, waited_s


@given("a leader that refuses connections for {refuses_s:g} s")
def _refusing(context, refuses_s):
    context.interference = Interference()
    context.refuses_s = refuses_s
    context.bridge.call(_open_refusing, context)


async def _open_refusing(context):
    nursery = context.bridge.nursery
    _, context.store_address = await open_platform_store(nursery)
    fake = FakeLeader("a")
    await nursery.start(fake.run, 0)
    address = f"127.0.0.1:{fake.port}"
    store = make_store(context.store_address)
    context.log = EntryLog(store=store)
    await context.log.claim(
        process_id="a",
        leader_write=Write(
            key=keys.LEADER, value=pack(_member("a", address)), lease=0
        ),
        leader_version=0,
    )
    context.refusing_port = fake.port
    fake.end()


@when("a process that is cut off from the store as long competes for {_}")
def _cut_as_long(context, _):
    context.bridge.call(_compete, context)


@when("a process that is cut off from the store longer competes for {_}")
def _cut_longer(context, _):
    context.bridge.call(_compete, context, longer_s=0.2)


@when("a process whose claims get no answer as long competes for {_}")
def _claims_unanswered(context, _):
    context.bridge.call(_compete, context, answers_reads=True)


async def _compete(context, *, longer_s=0.0, answers_reads=False):
    """Start a process that is cut off once it knows the leader."""
    store = CuttableStore(make_store(context.store_address))
    store.answers_reads = store.is_cut = True
    await _open_next(context, store)
    await trio.sleep(CUT_AFTER_S)
    store.answers_reads = answers_reads
    await trio.sleep(context.refuses_s)
    await context.bridge.nursery.start(
        FakeLeader("a").run, context.refusing_port
    )
    await trio.sleep(longer_s)
    store.is_cut = False


@when("a process that reaches the store competes for the leadership")
def _competes(context):
    store = make_store(context.store_address)
    context.began_s = boot_clock_s()
    context.bridge.call(_open_next, context, store)


@then("the leader has not been replaced {wait_s:g} s later")
def _not_replaced(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)
    context.bridge.call(context.log.confirm)


@then("it leads within {limit_s:g} s")
def _leads(context, limit_s):
    context.bridge.call(_until_leads, context)
    waited_s = boot_clock_s() - context.began_s
    assert waited_s <= limit_s, waited_s


async def _until_leads(context):
    with trio.fail_after(TIMEOUT_S):
        while context.next.leader is None:
            await trio.sleep(0.005)
