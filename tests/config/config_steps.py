"""Steps for the configuration."""

import functools
import pathlib

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.cli.config_commands import read_document
from radishlanding.config import ConfigWatch
from radishlanding.config import diff_documents
from radishlanding.config import Document
from radishlanding.observe import Counters
from tests.standin.open_store import open_store

EXAMPLE = pathlib.Path(__file__).parent.parent.parent / "examples"


@given("the configuration of Abay Reef with {old} replaced by {new}")
def _configuration_of_abay_reef(context, old, new):
    text = (EXAMPLE / "abay-reef.toml").read_text()
    assert old in text
    context.configuration = text.replace(old, new)


@when("it is compared with the original one")
def _it_is_compared(context):
    context.execute_steps("When it is read")
    original = read_document(EXAMPLE / "abay-reef.toml")
    context.differences = diff_documents(original, context.document)


@then("the only difference is {key} from {old:d} to {new:d}")
def _the_only_difference(context, key, old, new):
    assert context.differences == [(key, old, new)], context.differences


@given("two watches of one store at revision 1")
def _two_watches(context):
    context.store, store = context.bridge.call(open_store, context.bridge)
    context.watches = [
        ConfigWatch(store=store, counters=Counters()) for _ in range(2)
    ]
    replace = functools.partial(
        context.watches[0].replace, Document(author="zero"), expected=0
    )
    assert context.bridge.call(replace)
    context.bridge.call(context.watches[1].refresh)


async def _replace_concurrently(watches):
    accepted = []

    async def replace(watch, author):
        if await watch.replace(Document(author=author), expected=1):
            accepted.append(author)

    async with trio.open_nursery() as nursery:
        for author, watch in zip("ab", watches, strict=True):
            nursery.start_soon(replace, watch, author)
    return accepted


@when("both replace revision 1 concurrently")
def _both_replace(context):
    context.accepted = context.bridge.call(
        _replace_concurrently, context.watches
    )
    assert len(context.accepted) == 1, context.accepted


@when("the first replaces revision 1")
def _the_first_replaces(context):
    context.content = context.store.dump()
    replace = functools.partial(
        context.watches[0].replace, Document(author="a"), expected=1
    )
    assert context.bridge.call(replace)
    context.accepted = ["a"]


@when("the store's content is rolled back to before that")
def _the_store_is_rolled_back(context):
    context.store.restore(context.content)


@when("the first refreshes")
def _the_first_refreshes(context):
    context.bridge.call(context.watches[0].refresh)


@then("one is accepted and both have its revision 2")
@then("both have revision 2 of the first")
def _both_have_revision_2(context):
    context.bridge.call(context.watches[1].refresh)
    found = [
        (watch.document.revision, watch.document.author)
        for watch in context.watches
    ]
    assert found == [(2, context.accepted[0])] * 2, found
