"""Steps for the log of workflows."""

import base64
import functools
import json
import random
import zlib

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.dispatch import EntryLog
from radishlanding.dispatch import keys
from radishlanding.journal import Fenced
from radishlanding.observe import Counters
from radishlanding.platform import KvStore
from radishlanding.store import CallBudget
from radishlanding.store import CorruptRecord
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack
from radishlanding.store import Write
from radishlanding.store import WriteRefused
from radishlanding.workflow import LogEntry
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowRecord
from radishlanding.workflow import WorkflowRegistry
from tests.standin.log_lines import captured_lines
from tests.standin.open_platform import open_platform_store
from tests.standin.proxy import Proxy
from tests.standin.slow_link import SlowLink
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS


def make_store(address):
    """Return a client of the platform's store.

    :param address: ``host:port`` of the store.
    """
    return KvStore(
        address=address,
        budget=CallBudget(rate=1000.0, burst=1000.0),
        counters=Counters(),
    )


# Numbers of workflows that are appended in later steps.
FIRST_LATER_NUMBER = 1000
# Ended workflows are forgotten by then.
LONG_AFTER_MS = 1_000_000
LATE_ANSWER_S = 0.2
# Longer than a claim takes.
CLAIM_S = 0.3
# Random bytes in a large workflow.
LARGE_BYTES = 26_000


class Claimant:
    """A process that claims the log and appends to it."""

    __slots__ = ("log", "name", "refused", "registry", "store")

    def __init__(self, name, address, **link):
        """Initialise a process.

        :param name: Identity of the process.
        :param address: ``host:port`` of the store.
        :param link: Options of the log about the link to the store.
        """
        self.registry = None
        self.name = name
        self.refused = False
        self.store = make_store(address)
        self.log = EntryLog(store=self.store, **link)

    async def claim(self, *, version=None):
        """Claim the log.

        :param version: Version of the leader's key to expect; None for the
            current one.
        """
        if version is None:
            kv = await self.store.get(keys.LEADER)
            version = kv.version if kv else 0
        write = Write(key=keys.LEADER, value=self.name.encode())
        try:
            self.registry = await self.log.claim(
                process_id=self.name,
                leader_write=write,
                leader_version=version,
            )
        except Fenced:
            self.refused = True

    async def append(self, number, *, count=1, spec="work"):
        """Append an entry with workflows.

        :param number: Number that makes the first workflow's identity unique;
            the others have the next ones.
        :param count: Number of workflows.
        :param spec: Specification of the workflows.
        """
        workflows = [
            make_workflow(
                [Step(count=1, needs=NEEDS)], name=f"{self.name}{index:015d}"
            )
            for index in range(number, number + count)
        ]
        for workflow in workflows:
            workflow.spec = spec
        entry = LogEntry(
            commit_id=f"{self.name}-{number}",
            made_ms=number,
            accepted=workflows,
        )
        await self.log.append(entry)
        self.registry.apply(entry)


def _claimant(context, name):
    if name not in context.claimants:
        context.claimants[name] = Claimant(
            name, context.address, **context.link
        )
    return context.claimants[name]


@given("a log without a leader")
def _no_leader(context):
    context.claimants = {}
    context.link = {}
    context.platform_store, context.address = context.bridge.call(
        open_platform_store, context.bridge.nursery
    )


@given("a log that {name} leads with {count:d} workflows")
@given("a log that {name} leads with {count:d} workflow")
def _a_log(context, name, count):
    _no_leader(context)
    claimant = _claimant(context, name)
    context.bridge.call(claimant.claim)
    for number in range(count):
        context.bridge.call(claimant.append, number)


@when("{name:w} claims the log")
def _claims(context, name):
    with captured_lines("radishlanding.dispatch") as lines:
        context.bridge.call(_claimant(context, name).claim)
    context.lines = lines


@then("event log_read names {entries:d} entries, 1 chunk and their sizes")
def _log_read(context, entries):
    (line,) = [line for line in context.lines if "event=log_read" in line]
    sizes = [
        sum(len(context.platform_store.get(key)) for key in found)
        for found in (
            context.platform_store.keys(keys.LOG)[-entries:],
            context.platform_store.keys(keys.SNAPSHOTS),
        )
    ]
    for field in (
        f"entries={entries}",
        f"entry_bytes={sizes[0]}",
        "chunks=1",
        f"snapshot_bytes={sizes[1]}",
    ):
        assert field in line.split(), line


@when("{first:w} and {second:w} claim it concurrently")
def _claim_concurrently(context, first, second):
    async def both():
        async with trio.open_nursery() as nursery:
            for name in (first, second):
                nursery.start_soon(
                    functools.partial(
                        _claimant(context, name).claim, version=0
                    )
                )

    context.bridge.call(both)


@when("{name:w} claims it as if the leader's key were absent")
def _claims_as_absent(context, name):
    context.bridge.call(_claimant(context, name).claim, version=0)


@when("the store's answer to an append by {name:w} is lost")
def _answer_lost(context, name):
    context.platform_store.loss_probability = 1.0

    async def append_and_heal():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_claimant(context, name).append, 100)
            await trio.sleep(0.4)
            context.platform_store.loss_probability = 0.0

    context.bridge.call(append_and_heal)


@when(
    "{name:w}'s next append reaches the store only after {other:w} has "
    "claimed the log"
)
def _delayed_append(context, name, other):
    store = context.platform_store
    claimant = _claimant(context, name)
    context.fenced = False

    async def append():
        try:
            await claimant.append(100)
        except Fenced:
            context.fenced = True

    async def race():
        store.late_probability = 1.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(append)
            await trio.sleep(0.15)
            store.late_probability = 0.0
            await _claimant(context, other).claim()

    context.bridge.call(race)
    context.bridge.call(trio.sleep, 2.2)


@when("the store refuses the next append by {name:w} for its size")
def _append_refused(context, name):
    store = context.platform_store
    store.max_value_bytes = 10
    calls = store.calls["kv-txn"]

    async def append():
        with trio.move_on_after(1):
            try:
                await _claimant(context, name).append(100)
            except WriteRefused as exc:
                return exc
        return None

    with captured_lines("radishlanding.dispatch") as lines:
        context.refusal = context.bridge.call(append)
    context.lines = lines
    context.calls = store.calls["kv-txn"] - calls


@then("that append fails after one call, and event entry_refused names it")
def _refused_once(context):
    assert context.refusal is not None
    assert context.calls == 1, context.calls
    (line,) = [line for line in context.lines if "event=entry_refused" in line]
    assert "number=2" in line.split(), line


@when("{name:w} takes a snapshot")
def _snapshot(context, name):
    claimant = _claimant(context, name)
    context.bridge.call(claimant.log.snapshot, claimant.registry, now_ms=1000)


class InterruptedStore:
    """Pass calls on, but for the writes of heads.

    ``chunks`` holds the writes of chunks, ``on_head`` is called instead of a
    write of the head, which is passed on afterwards unless it fails.
    """

    __slots__ = ("_store", "chunks", "on_head")

    def __init__(self, store, *, on_head):
        """Start with the store to pass calls on to."""
        self._store = store
        self.chunks = []
        self.on_head = on_head

    async def get(self, key):
        """Return a key."""
        return await self._store.get(key)

    async def transact(self, *, writes=(), **options):
        """Write, unless a head is among the writes."""
        self.chunks += [
            write for write in writes if write.key.startswith(keys.SNAPSHOTS)
        ]
        if any(write.key == keys.HEAD for write in writes):
            self.on_head()
        return await self._store.transact(writes=writes, **options)


class SlowAnswers:
    """Pass calls on, and hold the answers to writes of heads back."""

    __slots__ = ("_store", "executed")

    def __init__(self, store):
        """Start with the store to pass calls on to."""
        self._store = store
        self.executed = trio.Event()

    async def get(self, key):
        """Return a key."""
        return await self._store.get(key)

    async def transact(self, *, writes=(), **options):
        """Write, and answer late if a head is among the writes."""
        try:
            return await self._store.transact(writes=writes, **options)
        finally:
            if any(write.key == keys.HEAD for write in writes):
                self.executed.set()
                await trio.sleep(LATE_ANSWER_S)


CALLS = {
    "a confirmation": lambda log: log.confirm(),
    "a write of learned values": lambda log: log.put(
        Write(key=keys.IMAGES, value=b"learned")
    ),
}


@when("{name:w} takes a snapshot whose last answer is late, beside {call}")
def _snapshot_beside(context, name, call):
    claimant = _claimant(context, name)
    store = SlowAnswers(claimant.store)
    claimant.log._fence._store = store
    context.fenced = 0

    async def take():
        try:
            await claimant.log.snapshot(claimant.registry, now_ms=1000)
        except Fenced:
            context.fenced += 1
            store.executed.set()

    async def both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(take)
            await store.executed.wait()
            try:
                await CALLS[call](claimant.log)
            except Fenced:
                context.fenced += 1

    context.bridge.call(both)


@when(
    "{other:w} claims the log before {name:w} takes a snapshot beside {call}"
)
def _fenced_snapshot_beside(context, other, name, call):
    _claims(context, other)
    _snapshot_beside(context, name, call)


@then("{name:w} is not fenced")
def _not_fenced(context, name):
    assert context.fenced == 0, context.fenced


@then("{name:w} is fenced")
def _both_fenced(context, name):
    assert context.fenced == 2, context.fenced


@then("an append by {name:w} is not fenced")
def _can_append(context, name):
    context.bridge.call(_claimant(context, name).append, FIRST_LATER_NUMBER)


@when("{name:w} writes a snapshot, but not its head")
def _writes_chunks_only(context, name):
    def refuse():
        raise StoreUnavailable("no answer", was_sent=True)

    claimant = _claimant(context, name)
    store = InterruptedStore(claimant.store, on_head=refuse)
    claimant.log._fence._store = store
    try:
        _snapshot(context, name)
    except StoreUnavailable:
        pass
    claimant.log._fence._store = claimant.store
    assert len(store.chunks) > 1
    context.late_writes = store.chunks


@when(
    "{name:w} appends {ended:d} workflows that have ended, and {count:d} "
    "large ones"
)
def _appends_ended_and_large(context, name, ended, count):
    _appends_at_once(context, name, ended)
    claimant = _claimant(context, name)
    found = list(claimant.registry.workflows)
    entry = LogEntry(commit_id="end", made_ms=2000, cancelled=found)
    context.bridge.call(claimant.log.append, entry)
    claimant.registry.apply(entry)
    _appends_large(context, name, count)
    context.others = set(claimant.registry.workflows) - set(found)


@when(
    "{name:w} takes a snapshot when that one is forgotten, and a late write "
    "arrives"
)
def _late_chunks(context, name):
    def execute_late():
        late = min(context.late_writes, key=lambda write: write.key)
        context.platform_store.put(late.key, late.value)

    claimant = _claimant(context, name)
    store = InterruptedStore(claimant.store, on_head=execute_late)
    claimant.log._fence._store = store
    context.bridge.call(
        functools.partial(
            claimant.log.snapshot, claimant.registry, now_ms=LONG_AFTER_MS
        )
    )


@then("the {count:d} large ones are recovered by {name:w}")
def _others_recovered(context, count, name):
    claimant = _claimant(context, name)
    context.bridge.call(claimant.claim)
    assert len(context.others) == count
    lacking = context.others - set(claimant.registry.workflows)
    assert not lacking, lacking


@then("the store holds no chunk but those of the last snapshot")
def _only_current_chunks(context):
    store = context.platform_store
    head = json.loads(store.get(keys.HEAD))
    current = [
        keys.chunk(head["number"], head["snapshot_epoch"], index)
        for index in range(head["chunks"])
    ]
    assert store.keys(keys.SNAPSHOTS) == current, store.keys(keys.SNAPSHOTS)


@when("{name:w} takes a snapshot, with a head as earlier versions wrote it")
def _snapshot_of_earlier_version(context, name):
    _snapshot(context, name)
    head = json.loads(context.platform_store.get(keys.HEAD))
    head.pop("first_number", None)
    context.platform_store.put_json(keys.HEAD, head)


@given("a log with a grace period of {grace_s:g} s that A leads")
def _graceful(context, grace_s):
    _no_leader(context)
    context.link = {"grace_s": grace_s}
    _claims(context, "A")
    context.bridge.call(_claimant(context, "A").append, 0)


@when("A has written the head")
def _head_written(context):
    assert json.loads(context.platform_store.get(keys.HEAD))


@when("an earlier build has written the head")
def _head_of_earlier_build(context):
    head = json.loads(context.platform_store.get(keys.HEAD))
    del head["leases_start_at_proof"]
    context.platform_store.put_json(keys.HEAD, head)


@when("an earlier build has, and C has claimed the log")
def _claimed_after(context):
    _head_of_earlier_build(context)
    _claims(context, "C")


@when("an earlier build has, and C has taken a snapshot at once")
def _snapshot_at_once(context):
    _claimed_after(context)
    _snapshot(context, "C")


@when("an earlier build has, and C has taken one {wait_s:g} s later")
def _snapshot_later(context, wait_s):
    _claimed_after(context)
    context.bridge.call(trio.sleep, wait_s)
    _snapshot(context, "C")


@then(
    "leases of earlier leaders begin up to {grace_s:g} s after the claim of B"
)
def _earlier_leases(context, grace_s):
    log = _claimant(context, "B").log
    late_s = log.earlier_leases_start_s - log.claimed_s
    assert grace_s < late_s < grace_s + CLAIM_S, late_s


@then("{count:d} log entry was listed")
def _listed(context, count):
    found = context.platform_store.listed_items
    assert found == count, found


@when("{name:w} resigns as the leader")
def _resigns(context, name):
    context.bridge.call(_claimant(context, name).log.resign, {"vm1": 3.5})


@then("{name:w} has {count:d} workflows and epoch {epoch:d}")
def _has(context, name, count, epoch):
    claimant = _claimant(context, name)
    assert len(claimant.registry.workflows) == count
    assert claimant.log.epoch == epoch


def _is_fenced(context, function, *args):
    async def attempt():
        try:
            await function(*args)
        except Fenced:
            return True
        return False

    return context.bridge.call(attempt)


@then("an append by {name:w} is fenced")
def _fenced_append(context, name):
    assert _is_fenced(context, _claimant(context, name).append, 900)


@then("a confirmation by {name:w} is fenced")
def _fenced_confirm(context, name):
    assert _is_fenced(context, _claimant(context, name).log.confirm)


@then("exactly one of them leads")
def _one_leads(context):
    refused = [claimant.refused for claimant in context.claimants.values()]
    assert sorted(refused) == [False, True], refused


@then("the claim of {name:w} is refused")
def _refused(context, name):
    assert _claimant(context, name).refused


@then("{name}'s append succeeds and is in the log once")
def _is_in_log_once(context, name):
    found = context.platform_store.keys(keys.LOG)
    assert found == [keys.entry(1), keys.entry(2)], found


@then("{name:w}'s state lacks that workflow, now and when it is read again")
def _lacks(context, name):
    claimant = _claimant(context, name)
    late = "A" + f"{100:015d}"
    assert late not in claimant.registry.workflows
    reader = Claimant("R", context.address)
    context.bridge.call(reader.claim)
    assert late not in reader.registry.workflows


@when("{name:w} appends {count:d} workflows")
@when("{name:w} appends {count:d} workflow")
def _appends(context, name, count):
    claimant = _claimant(context, name)
    for number in range(count):
        context.bridge.call(claimant.append, FIRST_LATER_NUMBER + number)


@when("{name:w} appends {count:d} large workflows")
def _appends_large(context, name, count):
    claimant = _claimant(context, name)
    for _ in range(count):
        number = FIRST_LATER_NUMBER + len(claimant.registry.workflows)
        context.bridge.call(
            functools.partial(
                claimant.append, number, spec=_large_spec(number)
            )
        )


def _large_spec(seed):
    spec = random.Random(seed).randbytes(LARGE_BYTES)
    return base64.b64encode(spec).decode()


@when("{name:w} appends {count:d} workflows in one entry")
def _appends_at_once(context, name, count):
    claimant = _claimant(context, name)
    number = FIRST_LATER_NUMBER + len(claimant.registry.workflows)
    context.bridge.call(
        functools.partial(claimant.append, number, count=count)
    )


def _log_values(context):
    """Return the values of the entries and chunks by their keys."""
    store = context.platform_store
    found = store.keys(keys.LOG) + store.keys(keys.SNAPSHOTS)
    return {key: store.get(key) for key in found}


def _plain(value):
    return zlib.decompress(value) if value.startswith(b"x") else value


@then("the log takes less than a fifth of its size before compression")
def _log_is_small(context):
    sizes = {
        key: (len(value), len(_plain(value)))
        for key, value in _log_values(context).items()
    }
    assert all(small < size / 5 for small, size in sizes.values()), sizes


@when("the log is as an earlier version wrote it")
def _earlier_version(context):
    for key, value in _log_values(context).items():
        context.platform_store.put(key, _plain(value))


@when("later leaders do not compress what they write")
def _uncompressed(context):
    context.link = {"compresses": False}


@then("the earlier version recovers {count:d} workflows")
def _earlier_version_recovers(context, count):
    store = context.platform_store
    head = json.loads(store.get(keys.HEAD))
    registry = WorkflowRegistry()
    for index in range(head["chunks"]):
        key = keys.chunk(head["number"], head["snapshot_epoch"], index)
        registry.load(unpack(list[WorkflowRecord], store.get(key)))
    for key in store.keys(keys.LOG):
        if key > keys.entry(head["number"]):
            registry.apply(unpack(LogEntry, store.get(key)))
    assert len(registry.workflows) == count, len(registry.workflows)


@when("{part} is cut short")
def _cut_short(context, part):
    key, value = _last_value(context, part)
    context.platform_store.put(key, value[:-8])


@when("{part} is 20 MB before compression")
def _too_large(context, part):
    key, _ = _last_value(context, part)
    context.platform_store.put(key, zlib.compress(b"[" * 20_000_000))


def _last_value(context, part):
    prefix = {"an entry": keys.LOG, "a chunk": keys.SNAPSHOTS}[part]
    values = _log_values(context)
    key = max(key for key in values if key.startswith(prefix))
    return key, values[key]


@then("the claim of {name:w} fails because of a corrupt record")
def _is_corrupt(context, name):
    try:
        context.bridge.call(_claimant(context, name).claim)
    except CorruptRecord:
        return
    raise AssertionError("the log was read")


@when("{name:w} claims a log of {count:d} entries that cancel nothing")
def _claims_small_entries(context, name, count):
    for number in range(1, count + 1):
        entry = LogEntry(commit_id=f"{number}", made_ms=number)
        context.platform_store.put(keys.entry(number), pack(entry))
    _claims(context, name)


@then("the store holds {count:d} log entries")
@then("the store holds {count:d} log entry")
def _entry_count(context, count):
    found = context.platform_store.keys(keys.LOG)
    assert len(found) == count, found


@then("{name:w} needs {what} snapshot")
def _needs_snapshot(context, name, what):
    log = _claimant(context, name).log
    assert log.needs_snapshot() == (what == "a"), what


@then("{name:w} recovers {count:d} workflows")
def _recovers(context, name, count):
    claimant = _claimant(context, name)
    context.bridge.call(claimant.claim)
    assert len(claimant.registry.workflows) == count


@when("another writer adds a key among the entries")
def _foreign_key(context):
    for name in ("odd", "0", "zzzzzzzzzzzz"):
        context.platform_store.put(keys.LOG + name, b"odd")


@then("the leader's key is absent")
def _key_absent(context):
    assert context.platform_store.get(keys.LEADER) is None


@then("{name:w} inherits the leases of {other:w} when it claims the log")
def _inherits(context, name, other):
    claimant = _claimant(context, name)
    context.bridge.call(claimant.claim)
    assert claimant.log.inherited_leases_s == {"vm1": 3.5}, (
        claimant.log.inherited_leases_s
    )


@then("{name:w} inherits no leases when it claims the log afterwards")
def _inherits_none(context, name):
    claimant = _claimant(context, name)
    context.bridge.call(claimant.claim)
    assert claimant.log.inherited_leases_s is None, (
        claimant.log.inherited_leases_s
    )


@when("the link of later leaders to the store has {mbps:d} Mbit/s")
def _slow_link(context, mbps):
    proxy = Proxy()
    proxy.upstream = context.address
    proxy.up_link, proxy.down_link = SlowLink(mbps=mbps), SlowLink(mbps=mbps)
    context.bridge.call(proxy.start, context.bridge.nursery)
    context.address = proxy.address
    context.link = {"link_mbps": mbps}


@when("{name:w} takes a snapshot while it confirms its leadership regularly")
def _snapshot_and_confirm(context, name):
    claimant = _claimant(context, name)
    context.unanswered = []

    async def confirm():
        while True:
            try:
                await claimant.log.confirm()
            except StoreUnavailable as exc:
                context.unanswered.append(exc)
            await trio.sleep(0.2)

    async def both():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirm)
            await claimant.log.snapshot(claimant.registry, now_ms=1000)
            nursery.cancel_scope.cancel()

    context.bridge.call(both)


@then("no confirmation of {name:w} went without an answer")
def _all_confirmed(context, name):
    assert not context.unanswered, context.unanswered


@then("the leaders before {name} were {last} and {earlier}")
def _leaders_before(context, name, last, earlier):
    found = _claimant(context, name).log.predecessors
    assert found == (last, earlier), found
