"""Steps for the attempts that an agent keeps."""

from behave import given
from behave import then
from behave import when

from radishlanding.message import RunAnswer
from radishlanding.request import AttemptRegistry
from radishlanding.request import Outcome


@given("an attempt registry started at {started_ms:d} ms")
def _a_registry(context, started_ms):
    context.registry = AttemptRegistry(started_ms=started_ms)


def _answer(context, key, at_ms, *, is_idempotent=False, body=b"x"):
    attempt = context.registry.begin(
        key, 1, is_idempotent=is_idempotent, now_ms=at_ms
    )
    context.registry.finish(
        attempt,
        RunAnswer(
            key=key,
            attempt=1,
            outcome=Outcome.DONE,
            reason="",
            status=200,
            body=body,
        ),
    )


@when("attempt 1 of {key} begins at {at_ms:d} ms and is answered")
def _begins(context, key, at_ms):
    context.started_ms = at_ms
    _answer(context, key, at_ms)


@when("an idempotent attempt begins at {at_ms:d} ms and is answered")
def _idempotent_begins(context, at_ms):
    context.started_ms = at_ms
    _answer(context, "i", at_ms, is_idempotent=True)


@when("600 s later attempt 1 of {key} begins and is answered")
def _later_begins(context, key):
    _answer(context, key, context.started_ms + 600_000)


@when("6 attempts are answered with 1 MiB each")
def _big_answers(context):
    for index in range(6):
        _answer(context, f"k{index}", 2000, body=b"x" * 2**20)


@then("attempt 1 of {key} is found with its answer")
def _is_found(context, key):
    assert context.registry.find(key, 1).answer.body == b"x"


@then("attempt 1 of {key} is not found")
def _is_not_found(context, key):
    assert context.registry.find(key, 1) is None


@then("the registry is not complete since {at_ms:d} ms")
def _is_not_complete(context, at_ms):
    assert not context.registry.is_complete_since(at_ms)


@then("the registry is complete since {at_ms:d} ms")
def _is_complete(context, at_ms):
    assert context.registry.is_complete_since(at_ms)


@then("the first attempt is kept with outcome unknown and no body")
def _first_body_is_discarded(context):
    answer = context.registry.find("k0", 1).answer
    assert (answer.outcome, answer.body) == (Outcome.UNKNOWN, b"")


@then("the last attempt has its body")
def _last_has_its_body(context):
    assert len(context.registry.find("k5", 1).answer.body) == 2**20
