"""Steps for a dispatcher that forwards calls to the leader."""

import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.config import AdvisorTiming
from radishlanding.config import Queue
from radishlanding.dispatcher.leader_client import LeaderClient
from radishlanding.message import WorkflowAnswer
from radishlanding.observe import Counters
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.workflow import Step
from radishlanding.workflow import WorkflowOutcome
from tests.workflow.workflow_steps import make_workflow
from tests.workflow.workflow_steps import NEEDS


class _Conn:
    """A connection on which calls fail in a given order.

    The last failure repeats; None stands for an answer.
    """

    __slots__ = ("_errors", "calls", "timeouts_s")

    def __init__(self, errors=()):
        self._errors = list(errors)
        self.calls = []
        self.timeouts_s = []

    async def call(self, message, *, timeout_s):
        """Answer, or raise the next error."""
        await trio.sleep(0.01)
        self.calls.append(message)
        self.timeouts_s.append(timeout_s)
        if self._errors:
            exc = self._errors[0]
            if len(self._errors) > 1:
                self._errors.pop(0)
            if exc is not None:
                raise exc
        return WorkflowAnswer(outcome=WorkflowOutcome.FOUND, phase="queued")


class _SilentConn:
    """A connection on which calls get no answer until some time."""

    __slots__ = ("_silent_until_s", "calls")

    def __init__(self, silent_s):
        self._silent_until_s = time.monotonic() + silent_s
        self.calls = []

    async def call(self, message, *, timeout_s):
        """Answer once the silence is over, or time out."""
        self.calls.append(message)
        with trio.move_on_after(timeout_s):
            left_s = self._silent_until_s - time.monotonic()
            await trio.sleep(max(0.0, left_s))
            return WorkflowAnswer(outcome=WorkflowOutcome.FOUND)
        raise ConnectionLost("no reply")


class _Candidate:
    """A candidate that does not lead."""

    __slots__ = ("leader", "leader_conn")

    def __init__(self, conn):
        self.leader = None
        self.leader_conn = conn


def _connect(context, conn):
    context.conn = conn
    context.candidate = _Candidate(conn)
    context.leader_client = LeaderClient(
        candidate=context.candidate, counters=Counters()
    )


@given("a dispatcher that knows no leader")
def _no_leader(context):
    _connect(context, None)


@given("a dispatcher whose leader closes each connection")
def _closes_each(context):
    _connect(context, _Conn([ConnectionLost("closed")]))


@given("a dispatcher whose leader closes the first connection")
def _closes_first(context):
    _connect(context, _Conn([ConnectionLost("closed"), None]))


@given("a dispatcher whose leader has lost the store")
def _lost_store(context):
    _connect(context, _Conn([CallRefused("the store does not answer")]))


@given("a dispatcher whose leader answers")
def _answers(context):
    _connect(context, _Conn())


def _submit(context, *, timeout_s=3.0, advisor_timing=None):
    workflow = make_workflow([Step(count=1, needs=NEEDS)])
    queue = Queue(
        name="q", host="h", prefix="/", pool="p", advisor_timing=advisor_timing
    )
    started_s = time.monotonic()
    context.answer = context.bridge.call(
        context.leader_client.submit,
        workflow,
        queue,
        request_id="r",
        timeout_s=timeout_s,
    )
    context.took_s = time.monotonic() - started_s


@when("a workflow is submitted by a caller that waits for {wait_s:d} s")
def _submitted_patiently(context, wait_s):
    _submit(context, timeout_s=wait_s)


@then("it is not tried for longer than {bound_s:d} s")
def _not_tried_longer(context, bound_s):
    found = context.conn.timeouts_s
    assert found and max(found) <= bound_s, found


@given("a dispatcher whose leader does not answer for {silent_s:g} s")
def _silent(context, silent_s):
    context.silent_s = silent_s
    _connect(context, _SilentConn(silent_s))


@when(
    "{count:d} workflows are submitted to it over {span_s:g} s with a timeout "
    "of 3 s"
)
def _submitted_over(context, count, span_s):
    context.answers = []

    async def submit(number):
        started_s = time.monotonic()
        answer = await context.leader_client.submit(
            make_workflow([Step(count=1, needs=NEEDS)], name=f"{number:016x}"),
            Queue(name="q", host="h", prefix="/", pool="p"),
            request_id="r",
            timeout_s=3.0,
        )
        took_s = time.monotonic() - started_s
        context.answers.append((f"{number:016x}", answer.outcome, took_s))

    async def submit_all():
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(submit, number)
                await trio.sleep(span_s / count)

    context.bridge.call(submit_all)


@then(
    "at most {count:d} of them are uncertain, and the others are refused "
    "within {within_s:g} s"
)
def _few_uncertain(context, count, within_s):
    refused = [
        item
        for item in context.answers
        if item[1] == WorkflowOutcome.REFUSED and item[2] < within_s
    ]
    uncertain = [
        item
        for item in context.answers
        if item[1] == WorkflowOutcome.UNCERTAIN
    ]
    assert len(uncertain) <= count, uncertain
    assert len(refused) + len(uncertain) == len(context.answers)


@then("no refused workflow has reached the leader")
def _none_reached(context):
    reached = {item.workflow.workflow_id for item in context.conn.calls}
    refused = {
        name
        for name, outcome, _ in context.answers
        if outcome == WorkflowOutcome.REFUSED
    }
    assert not reached & refused, reached & refused


@when("the leader answers again and a workflow is submitted")
def _answers_again(context):
    context.bridge.call(trio.sleep, 1.5)
    _submit(context)


@when("a workflow is submitted to it")
def _submitted(context):
    _submit(context)


@when("a workflow is submitted to it with a timeout of 1 s")
def _submitted_with_timeout(context):
    _submit(context, timeout_s=1.0)


@when("a leader appears after 0.3 s and a workflow is submitted")
def _appears(context):
    async def appear():
        await trio.sleep(0.3)
        context.candidate.leader_conn = _Conn()

    context.bridge.spawn(appear)
    _submit(context)


@when("a workflow of a queue with an advisor is submitted to it")
def _advised(context):
    _submit(context, advisor_timing=AdvisorTiming(decide_ms=10))


@when("another is submitted to it {pause_s:g} s later")
def _submitted_later(context, pause_s):
    context.bridge.call(trio.sleep, pause_s)
    _submit(context)


@then("it is {outcome} within {within_s:g} s, with a retry after 1 or 2 s")
def _failed(context, outcome, within_s):
    assert context.answer.outcome == outcome, context.answer
    assert context.answer.retry_after_s in (1, 2), context.answer
    assert context.took_s < within_s, context.took_s


@then("it is found")
def _found(context):
    assert context.answer.outcome == WorkflowOutcome.FOUND, context.answer


@then("its outcome is uncertain")
def _uncertain(context):
    assert context.answer.outcome == WorkflowOutcome.UNCERTAIN


@then("it is found, after 2 calls for the same workflow")
def _found_after(context):
    _found(context)
    ids = [item.workflow.workflow_id for item in context.conn.calls]
    assert len(ids) == 2 and len(set(ids)) == 1, ids


@then("it is refused within 1 s, and the leader is not called")
def _not_called(context):
    assert context.answer.outcome == WorkflowOutcome.REFUSED
    assert context.took_s < 1.0
    assert context.conn.calls == []
