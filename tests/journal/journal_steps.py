"""Steps for the journal."""

import functools

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.journal import Fenced
from radishlanding.journal import Journal
from radishlanding.journal import JournalGap
from radishlanding.journal import JournalRolledBack
from radishlanding.request import Claim
from radishlanding.shard import ShardState
from tests.standin.open_store import open_store
from tests.standin.proxy import Proxy


def _claim(key):
    return Claim(
        key=key,
        attempt=1,
        holder="h",
        vm="v",
        incarnation="i",
        clock_ms=1,
        digest="d",
        made_s=1.0,
    )


class Writer:
    """A process that writes the journal while it owns it."""

    __slots__ = ("journal", "name", "state")

    def __init__(self, name, store):
        """Create a writer of shard 0.

        :param name: Identity of the process.
        :param store: A :class:`radishlanding.store.Store`.
        """
        self.name = name
        self.journal = Journal(store=store, shard=0, writer=name)
        self.state = ShardState()

    async def open(self):
        """Open the journal."""
        await self.journal.open(self.state)

    async def append(self):
        """Append a segment with one claim."""
        number = self.journal.last_number + 1
        segment = self.journal.make_segment(
            claims=[_claim(f"{self.name}-{number}")]
        )
        await self.journal.append(segment)
        self.state.apply(segment)

    async def truncate(self):
        """Replace the journal by a snapshot of the state."""
        await self.journal.truncate(self.state.dump())


def _writer(context, name):
    if name not in context.writers:
        context.writers[name] = Writer(name, context.store)
    return context.writers[name]


def _call(context, name, method):
    return context.bridge.call(getattr(_writer(context, name), method))


@given("a journal of shard 0 that A has opened and appended 3 segments to")
def _a_journal(context):
    context.proxy = Proxy()
    context.standin, context.store = context.bridge.call(
        open_store, context.bridge, proxy=context.proxy
    )
    context.writers = {}
    _call(context, "A", "open")
    for _ in range(3):
        _call(context, "A", "append")


@when("{name} opens the journal")
def _opens(context, name):
    _call(context, name, "open")


@then("B has read 4 segments and owns epoch 5")
def _has_read(context):
    writer = _writer(context, "B")
    assert writer.journal.owner_epoch == 5, writer.journal.owner_epoch
    assert sorted(writer.state.claims) == ["A-2", "A-3", "A-4"]


def _is_fenced(context, call):
    try:
        context.bridge.call(call)
    except Fenced:
        return True
    return False


@then("{name} is fenced when it appends")
def _fenced_when_it_appends(context, name):
    assert _is_fenced(context, _writer(context, name).append)


@then("{name} is fenced when it confirms")
def _fenced_when_it_confirms(context, name):
    assert _is_fenced(context, _writer(context, name).journal.confirm)


async def _open_both(writers):
    fenced = []

    async def open_one(writer):
        try:
            await writer.open()
        except Fenced:
            fenced.append(writer.name)

    async with trio.open_nursery() as nursery:
        for writer in writers:
            nursery.start_soon(open_one, writer)
    return fenced


@when("B and C open the journal at once")
def _open_at_once(context):
    writers = [_writer(context, name) for name in "BC"]
    context.fenced = context.bridge.call(_open_both, writers)


@then("exactly one of them can append")
def _one_can_append(context):
    fenced = set(context.fenced)
    for name in {"B", "C"} - fenced:
        if _is_fenced(context, _writer(context, name).append):
            fenced.add(name)
    assert len(fenced) == 1, fenced


async def _append_with_lost_answer(writer, proxy):
    proxy.drops_responses = True
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.append)
        await trio.sleep(2.0)
        proxy.heal()
        await proxy.cut()


@when("the answer to A's next append is lost")
def _answer_is_lost(context):
    context.bridge.call(
        _append_with_lost_answer, _writer(context, "A"), context.proxy
    )


@then("the append succeeds and is in the journal once")
def _is_in_the_journal_once(context):
    names = context.standin.names("shard/0000/log/")
    assert len(names) == 5, names
    _call(context, "B", "open")
    assert "A-5" in _writer(context, "B").state.claims


@when("{name} appends 2 segments and truncates it")
def _appends_and_truncates(context, name):
    for method in ("append", "append", "truncate"):
        _call(context, name, method)


@when("A truncates it and appends 2 segments")
def _truncates_and_appends(context):
    for method in ("truncate", "append", "append"):
        _call(context, "A", method)


@then("the next segment number of A is absent from the store")
def _number_is_absent(context):
    number = _writer(context, "A").journal.last_number + 1
    assert context.standin.read(f"shard/0000/log/{number:012d}") is None


@then("{name} recovers what {other} wrote")
def _recovers(context, name, other):
    _call(context, name, "open")
    expected = _writer(context, other).state.claims
    assert _writer(context, name).state.claims == expected


@when("segment 2 is removed from the store")
def _segment_is_removed(context):
    remove = functools.partial(
        context.store.delete,
        "shard/0000/log/000000000002",
        "shard/0000/log/000000000003",
    )
    context.bridge.call(remove)


@then("B cannot open the journal: segment 2 is missing")
def _cannot_open(context):
    try:
        _call(context, "B", "open")
    except JournalGap as exc:
        assert "segment 2" in str(exc), exc
    else:
        raise AssertionError("it was opened")


@when("A appends 2 segments that the store then loses")
def _store_is_rolled_back(context):
    content = context.standin.dump()
    for _ in range(2):
        _call(context, "A", "append")
    context.standin.restore(content)


@when("A appends another segment")
def _appends_another(context):
    _call(context, "A", "append")


@then("A detects that segment 5 is missing")
def _detects_missing(context):
    try:
        context.bridge.call(_writer(context, "A").journal.confirm)
    except JournalRolledBack as exc:
        assert "segment 5" in str(exc), exc
    else:
        raise AssertionError("it was confirmed")


@when("A rewrites the journal")
def _rewrites(context):
    writer = _writer(context, "A")
    context.bridge.call(writer.journal.rewrite, writer.state.dump())


@then("A can confirm and append")
def _can_confirm_and_append(context):
    context.bridge.call(_writer(context, "A").journal.confirm)
    _call(context, "A", "append")
