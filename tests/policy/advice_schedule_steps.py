"""Steps about the order of questions to an advisor."""

import collections

from behave import given
from behave import then
from behave import when

from radishlanding.config import AdvisorTiming
from radishlanding.policy import AdviceSchedule
from radishlanding.policy import AdvisedStep
from radishlanding.policy import TicketCache

VALID_S = 1.0
TIMING = AdvisorTiming(decide_ms=10, each_ms=1, valid_ms=1000)


def _step(number, *, is_waiting=True, boots=("a/1",), timing=TIMING):
    return AdvisedStep(
        step=("0" * 16, 0, number),
        boots=list(boots),
        timing=timing,
        is_waiting=is_waiting,
    )


def _prepare(context, steps):
    context.now_s = 100.0
    context.steps = steps
    context.tickets = TicketCache()
    context.schedule = AdviceSchedule(tickets=context.tickets)


@given("steps 1 and 2 that wait, the first of them more urgent")
def _both_wait(context):
    _prepare(context, [_step(1), _step(2)])


@given("steps 1 and 2, of which only step 2 waits")
def _one_waits(context):
    _prepare(context, [_step(1, is_waiting=False), _step(2)])


def _choose(context):
    return context.schedule.choose(context.steps, now_s=context.now_s)


def _answer(context, query):
    context.tickets.add(
        query.step,
        query.boots,
        dict.fromkeys(query.boots, "ticket"),
        issued_s=context.now_s,
        valid_s=VALID_S,
    )


@when("the advisor has answered about step {number:d}")
def _answered(context, number):
    query = _choose(context)
    assert query.step[2] == number, query
    _answer(context, query)


@when("the advisor's answer about step {number:d} has expired")
def _answered_and_expired(context, number):
    _answered(context, number)
    context.now_s += VALID_S


@then("the next question is about step {number:d}")
def _next_is(context, number):
    query = _choose(context)
    assert query.step[2] == number, query


@given("a step with {count:d} boots that waits")
def _one_step(context, count):
    boots = [f"i-{index}/1" for index in range(count)]
    _prepare(context, [_step(1, boots=boots, timing=context.timing)])


@then("the first {count:d} questions name each of the {known:d} boots")
def _names_each(context, count, known):
    named = {boot for boots in context.named[:count] for boot in boots}
    assert len(named) == known, context.named


@then("{count:d} questions name each boot {least:d} times or more")
def _names_often(context, count, least):
    times = collections.Counter(
        boot for boots in context.named[:count] for boot in boots
    )
    assert min(times.values()) >= least, times


@when("each answer is a ticket that has expired by the next question")
def _all_expire(context):
    context.asked = []
    context.named = []
    for _ in range(8):
        query = _choose(context)
        context.named.append(query.boots)
        context.asked.append(query.step[2])
        _answer(context, query)
        context.now_s += VALID_S


@when("questions about step 1 get no answer, and tickets of step 2 expire")
def _one_fails(context):
    context.asked = []
    for _ in range(8):
        query = _choose(context)
        context.asked.append(query.step[2])
        if query.step[2] == 1:
            context.schedule.record_failure(query.step)
        else:
            _answer(context, query)
        context.now_s += VALID_S


@when("the advisor answers about step 1 again, and 2 boots are new")
def _answers_again(context):
    query = _choose(context)
    assert query.step[2] == 1, query
    _answer(context, query)
    context.schedule.record_answer(query.step)
    boots = ["a/1", "b/1", "c/1"]
    context.steps = [_step(1, boots=boots), _step(2)]


@then("{count:d} questions are about each step in turn")
def _in_turn(context, count):
    assert context.asked == [1, 2] * (count // 2), context.asked


@given(
    "an advisor of {decide_ms:d} ms and {each_ms:d} ms a VM, for "
    "{valid_ms:d} ms"
)
def _timing(context, decide_ms, each_ms, valid_ms):
    context.timing = AdvisorTiming(
        decide_ms=decide_ms, each_ms=each_ms, valid_ms=valid_ms
    )


@then("a question about a step with {known:d} boots names {count:d} of them")
def _names(context, known, count):
    boots = [f"i-{index}/1" for index in range(known)]
    _prepare(context, [_step(1, boots=boots, timing=context.timing)])
    assert len(_choose(context).boots) == count, _choose(context)
