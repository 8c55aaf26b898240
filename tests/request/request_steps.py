"""Steps about kept answers."""

from behave import given
from behave import then
from behave import when

from radishlanding.message import RunAnswer
from radishlanding.request import AttemptRegistry
from radishlanding.request import Outcome


@given("an answer book opened at {opened:d}")
def _a_book(context, opened):
    context.book = AttemptRegistry(started_ms=opened)


def _answer(context, key, at_ms, *, is_idempotent=False, body=b"x"):
    entry = context.book.begin(
        key, 1, is_idempotent=is_idempotent, now_ms=at_ms
    )
    context.book.finish(
        entry,
        RunAnswer(
            key=key,
            attempt=1,
            outcome=Outcome.DONE,
            reason="",
            status=200,
            body=body,
        ),
    )


@when("attempt 1 of {key} begins at {at_ms:d} and is answered")
def _begins(context, key, at_ms):
    context.began_ms = at_ms
    _answer(context, key, at_ms)


@when("an idempotent attempt begins at {at_ms:d} and is answered")
def _idempotent_begins(context, at_ms):
    context.began_ms = at_ms
    _answer(context, "i", at_ms, is_idempotent=True)


@when("600 s later attempt 1 of {key} begins and is answered")
def _later_begins(context, key):
    _answer(context, key, context.began_ms + 600_000)


@when("6 attempts are answered with a megabyte each")
def _big_answers(context):
    for index in range(6):
        _answer(context, f"k{index}", 2000, body=b"x" * 2**20)


@then("attempt 1 of {key} is found with its answer")
def _is_found(context, key):
    assert context.book.find(key, 1).answer.body == b"x"


@then("attempt 1 of {key} is not found")
def _is_not_found(context, key):
    assert context.book.find(key, 1) is None


@then("nothing claimed at {at_ms:d} is vouched for")
def _not_vouched(context, at_ms):
    assert not context.book.is_complete_since(at_ms)


@then("something claimed at {at_ms:d} is vouched for")
def _vouched(context, at_ms):
    assert context.book.is_complete_since(at_ms)


@then("the first is remembered as run, without its answer")
def _first_is_remembered(context):
    answer = context.book.find("k0", 1).answer
    assert (answer.outcome, answer.body) == (Outcome.UNKNOWN, b"")


@then("the last has its answer")
def _last_has_its_answer(context):
    assert len(context.book.find("k5", 1).answer.body) == 2**20
