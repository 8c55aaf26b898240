"""Steps about a dispatcher that passes questions on."""

import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.config import Advice
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
    """A connection to a leader with a habit."""

    __slots__ = ("_errors", "questions")

    def __init__(self, errors=()):
        self._errors = list(errors)
        self.questions = []

    async def call(self, message, *, timeout_s):
        """Answer, or fail in the way that is next."""
        await trio.sleep(0.01)
        self.questions.append(message)
        if self._errors:
            exc = self._errors[0]
            if len(self._errors) > 1:
                self._errors.pop(0)
            if exc is not None:
                raise exc
        return WorkflowAnswer(outcome=WorkflowOutcome.FOUND, phase="queued")


class _Candidate:
    """A process that does not lead."""

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


@given("a dispatcher whose leader asks to go elsewhere")
def _elsewhere(context):
    _connect(context, _Conn([CallRefused("the store does not answer")]))


@given("a dispatcher whose leader answers")
def _answers(context):
    _connect(context, _Conn())


def _hand_in(context, *, timeout_s=3.0, advice=None):
    workflow = make_workflow([Step(count=1, needs=NEEDS)])
    queue = Queue(name="q", host="h", prefix="/", pool="p", advice=advice)
    began_s = time.monotonic()
    context.answer = context.bridge.call(
        context.leader_client.submit,
        workflow,
        queue,
        request_id="r",
        timeout_s=timeout_s,
    )
    context.took_s = time.monotonic() - began_s


@when("a workflow is handed to it")
def _handed(context):
    _hand_in(context)


@when("a workflow is handed to it for 1 s")
def _handed_short(context):
    _hand_in(context, timeout_s=1.0)


@when("a leader appears after 0.3 s and a workflow is handed in")
def _appears(context):
    async def appear():
        await trio.sleep(0.3)
        context.candidate.leader_conn = _Conn()

    context.bridge.spawn(appear)
    _hand_in(context)


@when("a workflow of a queue with an advisor is handed to it")
def _advised(context):
    _hand_in(context, advice=Advice(decide_ms=10))


@when("{pause_s:g} s later another is handed to it")
def _handed_later(context, pause_s):
    context.bridge.call(trio.sleep, pause_s)
    _hand_in(context)


@then("it is {outcome} within {within_s:g} s, to come back after 1 or 2 s")
def _given_up(context, outcome, within_s):
    assert context.answer.outcome == outcome, context.answer
    assert context.answer.retry_after_s in (1, 2), context.answer
    assert context.took_s < within_s, context.took_s


@then("it is found")
def _found(context):
    assert context.answer.outcome == WorkflowOutcome.FOUND, context.answer


@then("it is uncertain in the end")
def _uncertain(context):
    assert context.answer.outcome == WorkflowOutcome.UNCERTAIN


@then("it is found, after 2 questions about one workflow")
def _found_after(context):
    _found(context)
    names = [item.workflow.workflow_id for item in context.conn.questions]
    assert len(names) == 2 and len(set(names)) == 1, names


@then("it is refused within 1 s, and the leader was not asked")
def _not_asked(context):
    assert context.answer.outcome == WorkflowOutcome.REFUSED
    assert context.took_s < 1.0
    assert context.conn.questions == []
