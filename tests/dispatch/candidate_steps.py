"""Steps for processes that compete for the leadership."""

import trio
from behave import given
from behave import then

from radishlanding.dispatch import Candidate
from radishlanding.dispatch import keys
from radishlanding.dispatch import Succession
from radishlanding.membership import Member
from radishlanding.observe import Counters
from radishlanding.policy import StrongestFirst
from radishlanding.store import Listing
from radishlanding.store import StoreUnavailable
from radishlanding.store import WriteRefused
from radishlanding.vm import boot_clock_s

TIMEOUT_S = 2.0
GRACE_S = 3.0


class FakeSource:
    """A source of data that becomes available after a while."""

    __slots__ = ("_changed", "is_available")

    def __init__(self):
        """Initialise it as unavailable."""
        self._changed = trio.Event()
        self.is_available = False

    async def provide(self, after_s):
        """Become available after some seconds."""
        await trio.sleep(after_s)
        self.is_available = True
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until it becomes available."""
        await self._changed.wait()


class FakeRegistration(FakeSource):
    """A registration whose lease is granted late."""

    __slots__ = ()

    @property
    def lease(self):
        """Return the lease, 0 before it is granted."""
        return int(self.is_available)


class FakeKeys(FakeSource):
    """A watch that is in sync late and finds no keys."""

    __slots__ = ("items", "regained_s")

    def __init__(self):
        """Initialise it without keys."""
        super().__init__()
        self.regained_s = 0.0
        self.items = {}

    @property
    def has_synced(self):
        """Return whether the keys were read."""
        return self.is_available

    @property
    def is_lost(self):
        """Return whether the keys may be outdated."""
        return not self.is_available


class FakeStore:
    """A store that never answers and records when it was first called."""

    __slots__ = ("called_s",)

    def __init__(self):
        """Initialise it without a call."""
        self.called_s = 0.0

    async def get(self, _key):
        """Record the time of the first call."""
        self.called_s = self.called_s or boot_clock_s()
        raise StoreUnavailable("no answer", was_sent=True)


def _make_candidate(store, registration, site_keys, *, make_leader=None):
    member = Member(
        kind="dispatcher", process_id="a", zone="bole", address="127.0.0.1:1"
    )
    return Candidate(
        store=store,
        member=member,
        site_keys=site_keys,
        registration=registration,
        make_leader=make_leader,
        on_change=trio.lowlevel.checkpoint,
        counters=Counters(),
        grace_s=GRACE_S,
        succession=Succession(
            policy=StrongestFirst(),
            member=member,
            site_keys=site_keys,
            counters=Counters(),
        ),
    )


@given(
    "{count:d} processes that get a lease after {lease_s:g} s and read the "
    "keys after {read_s:g} s"
)
def _processes(context, count, lease_s, read_s):
    context.bridge.call(_open_candidates, context, count, lease_s, read_s)


async def _open_candidates(context, count, lease_s, read_s):
    nursery = context.bridge.nursery
    registration, site_keys = FakeRegistration(), FakeKeys()
    context.store = FakeStore()
    for _ in range(count):
        candidate = _make_candidate(context.store, registration, site_keys)
        nursery.start_soon(candidate.run)
    context.available_s = boot_clock_s() + max(lease_s, read_s)
    nursery.start_soon(registration.provide, lease_s)
    nursery.start_soon(site_keys.provide, read_s)


@then("one reads the log's head within {late_s:g} s of having both")
def _reads_head(context, late_s):
    context.bridge.call(_until_called, context.store)
    found_s = context.store.called_s - context.available_s
    assert 0 <= found_s <= late_s, found_s


async def _until_called(store):
    with trio.fail_after(TIMEOUT_S):
        while not store.called_s:
            await trio.sleep(0.01)


class SlowStore:
    """A store that takes writes but is too slow to list the log."""

    __slots__ = ("claims", "withdrawals")

    def __init__(self):
        """Initialise it without claims."""
        self.claims = 0
        self.withdrawals = 0

    async def get(self, _key):
        """Return None: no key exists."""
        return

    async def transact(self, *, expected, writes=(), removes=()):
        """Count claims and withdrawals; return a version."""
        self.claims += any(write.key == keys.HEAD for write in writes)
        self.withdrawals += keys.LEADER in removes
        return 1

    async def list(self, _prefix, **_options):
        """Fail as if the call had timed out."""
        raise StoreUnavailable("too slow", was_sent=True)


@given("a process whose link is too slow to read the log")
def _slow_process(context):
    context.bridge.call(_open_slow, context)


async def _open_slow(context):
    registration, site_keys = FakeRegistration(), FakeKeys()
    registration.is_available = site_keys.is_available = True
    context.store = SlowStore()
    candidate = _make_candidate(context.store, registration, site_keys)
    context.bridge.nursery.start_soon(candidate.run)


@then("within 1 s it has claimed the log and removed the leader's key")
def _withdrawn(context):
    context.bridge.call(_until_withdrawn, context.store)
    assert context.store.claims == 1, context.store.claims


async def _until_withdrawn(store):
    with trio.fail_after(1.0):
        while not store.withdrawals:
            await trio.sleep(0.01)


@then("it makes no further claim for 0.8 s")
def _claims_nothing(context):
    context.bridge.call(trio.sleep, 0.8)
    assert context.store.claims == 1, context.store.claims


class EmptyStore(SlowStore):
    """A store that takes writes and holds no log."""

    __slots__ = ()

    async def list(self, _prefix, **_options):
        """Return an empty listing."""
        return Listing(items=[], revision=1)


class RefusedLeader:
    """A leader whose entry the store refuses."""

    __slots__ = ("epoch", "resigned")

    def __init__(self, *, epoch):
        """Initialise it with the epoch of its leadership."""
        self.epoch = epoch
        self.resigned = trio.Event()

    async def prepare(self, _store):
        """Do nothing."""

    async def run(self):
        """Fail as if an entry were too large."""
        await trio.sleep(0.1)
        raise WriteRefused("kv-txn: status 413")

    async def resign(self):
        """Record that the leader resigned."""
        self.resigned.set()


@given("a leader whose next entry the store refuses for good")
def _refused_leader(context):
    context.leaders = []

    def make_leader(*, log, **_options):
        context.leaders.append(RefusedLeader(epoch=log.epoch))
        return context.leaders[-1]

    async def open_candidate():
        registration, site_keys = FakeRegistration(), FakeKeys()
        registration.is_available = site_keys.is_available = True
        context.store = EmptyStore()
        candidate = _make_candidate(
            context.store, registration, site_keys, make_leader=make_leader
        )
        context.bridge.nursery.start_soon(candidate.run)

    context.bridge.call(open_candidate)


@then("within 1 s it has resigned and takes part in the election again")
def _resigned(context):
    async def wait():
        with trio.fail_after(1.0):
            while not context.leaders:
                await trio.sleep(0.01)
            await context.leaders[0].resigned.wait()
        with trio.fail_after(TIMEOUT_S):
            while len(context.leaders) < 2:
                await trio.sleep(0.01)

    context.bridge.call(wait)
