"""Steps about processes that want to lead."""

import trio
from behave import given
from behave import then

from radishlanding.dispatch import Candidate
from radishlanding.dispatch import keys
from radishlanding.dispatch import Succession
from radishlanding.membership import Member
from radishlanding.observe import Counters
from radishlanding.policy import StrongestFirst
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

WITHIN_S = 2.0
GRACE_S = 3.0


class Known:
    """Something that becomes known after a while, and says so."""

    __slots__ = ("_changed", "is_known")

    def __init__(self):
        """Start without it."""
        self._changed = trio.Event()
        self.is_known = False

    async def learn(self, after_s):
        """Let it become known."""
        await trio.sleep(after_s)
        self.is_known = True
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until it becomes known."""
        await self._changed.wait()


class FakeRegistration(Known):
    """A registration whose lease comes late."""

    __slots__ = ()

    @property
    def lease(self):
        """Return the lease, 0 for none yet."""
        return int(self.is_known)


class FakeKeys(Known):
    """Keys that are read late, and are none."""

    __slots__ = ("items",)

    def __init__(self):
        """Start unread."""
        super().__init__()
        self.items = {}

    @property
    def is_read(self):
        """Return whether they were read."""
        return self.is_known

    @property
    def is_lost(self):
        """Return whether they may be older than they are."""
        return not self.is_known


class FakeStore:
    """A store that answers nothing, and notes when it is asked first."""

    __slots__ = ("asked_s",)

    def __init__(self):
        """Start unasked."""
        self.asked_s = 0.0

    async def get(self, _key):
        """Note the time."""
        self.asked_s = self.asked_s or boot_clock_s()
        raise StoreUnavailable("no answer", was_sent=True)


def _make_candidate(store, registration, site_keys):
    member = Member(
        kind="dispatcher", process_id="a", zone="bole", address="127.0.0.1:1"
    )
    return Candidate(
        store=store,
        member=member,
        site_keys=site_keys,
        registration=registration,
        make_leader=None,
        on_change=None,
        counters=Counters(),
        grace_s=GRACE_S,
        succession=Succession(
            choice=StrongestFirst(), member=member, site_keys=site_keys
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
    context.known_s = boot_clock_s() + max(lease_s, read_s)
    nursery.start_soon(registration.learn, lease_s)
    nursery.start_soon(site_keys.learn, read_s)


@then("one asks for the head at most {late_s:g} s after they know both")
def _asks(context, late_s):
    context.bridge.call(_until_asked, context.store)
    found_s = context.store.asked_s - context.known_s
    assert 0 <= found_s <= late_s, found_s


async def _until_asked(store):
    with trio.fail_after(WITHIN_S):
        while not store.asked_s:
            await trio.sleep(0.01)


class SlowStore:
    """A store that takes writes, and whose log is too long for a link."""

    __slots__ = ("claims", "withdrawals")

    def __init__(self):
        """Start without a claim."""
        self.claims = 0
        self.withdrawals = 0

    async def get(self, _key):
        """Return nothing."""
        return

    async def transact(self, *, expected, writes=(), removes=()):
        """Count what is written; return a version."""
        self.claims += any(write.key == keys.HEAD for write in writes)
        self.withdrawals += keys.LEADER in removes
        return 1

    async def list(self, _prefix, **_options):
        """Give no answer in time."""
        raise StoreUnavailable("too slow", was_sent=True)


@given("a process whose link is too slow to read the log")
def _slow_process(context):
    context.bridge.call(_open_slow, context)


async def _open_slow(context):
    registration, site_keys = FakeRegistration(), FakeKeys()
    registration.is_known = site_keys.is_known = True
    context.store = SlowStore()
    candidate = _make_candidate(context.store, registration, site_keys)
    context.bridge.nursery.start_soon(candidate.run)


@then(
    "within 1 s it has claimed the log and taken its name from the leader's "
    "key"
)
def _withdrawn(context):
    context.bridge.call(_until_withdrawn, context.store)
    assert context.store.claims == 1, context.store.claims


async def _until_withdrawn(store):
    with trio.fail_after(1.0):
        while not store.withdrawals:
            await trio.sleep(0.01)


@then("it claims nothing more for 0.8 s")
def _claims_nothing(context):
    context.bridge.call(trio.sleep, 0.8)
    assert context.store.claims == 1, context.store.claims
