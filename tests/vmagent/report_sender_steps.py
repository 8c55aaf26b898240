"""Steps for the reports of an agent to its leader."""

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.message import VmReportAck
from radishlanding.vm import boot_clock_s
from radishlanding.vm import VmLease
from radishlanding.vmagent.report_sender import ReportSender
from tests.vmagent.fake_worker import FakeLeasedWorker
from tests.vmagent.worker_supervisor_steps import open_supervisor

LEASE_S = 30.0


class _Leader:
    """A connection to a leader that counts reports."""

    __slots__ = ("grants", "peer", "reports")

    def __init__(self):
        self.grants = False
        self.peer = "leader"
        self.reports = 0

    async def call(self, _report, *, timeout_s):
        """Return an answer with or without a lease."""
        self.reports += 1
        return VmReportAck(granted=self.grants)


class _Links:
    """The links of an agent that follows one leader."""

    __slots__ = ("leader_conn",)

    def __init__(self, conn):
        self.leader_conn = conn


@given("an agent with a lease of {left_s:g} s left whose leader grants none")
def _agent(context, left_s):
    open_supervisor(context, FakeLeasedWorker())
    context.bridge.call(_report, context, left_s)


async def _report(context, left_s):
    context.leader = _Leader()
    context.supervisor.lease = VmLease(duration_s=LEASE_S)
    context.supervisor.lease.extend(sent_s=boot_clock_s() + left_s - LEASE_S)
    sender = ReportSender(
        links=_Links(context.leader), supervisor=context.supervisor
    )
    context.bridge.nursery.start_soon(sender.run)


@when("it goes on for {wait_s:g} s")
def _passed(context, wait_s):
    context.bridge.call(trio.sleep, wait_s)


@then("it has reported at least {count:d} times")
def _reported(context, count):
    assert context.leader.reports >= count, context.leader.reports


@then("it has reported at most {count:d} times")
def _reported_rarely(context, count):
    assert context.leader.reports <= count, context.leader.reports


@then("it has its lease within {limit_s:g} s once the leader grants one")
def _granted(context, limit_s):
    context.leader.grants = True
    context.bridge.call(_until_granted, context.supervisor.lease, limit_s)


async def _until_granted(lease, limit_s):
    with trio.fail_after(limit_s):
        while lease.remaining_s() < LEASE_S / 2:
            await trio.sleep(0.01)
