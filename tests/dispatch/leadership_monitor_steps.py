"""Steps for the proof of leadership around an outage of the store."""

import trio
from behave import given
from behave import then

from radishlanding.dispatch.leadership_monitor import LeadershipMonitor
from radishlanding.store import StoreUnavailable
from radishlanding.vm import boot_clock_s

CALL_TIMEOUT_S = 0.8
# A call that is on its way when the outage begins.
FIRST_FAILURE_S = 0.1


class _FailingLog:
    """A log whose store leaves the calls of some time unanswered."""

    __slots__ = ("confirmed_s", "failing_since_s", "failures", "outage_end_s")

    epoch = 1

    def __init__(self, *, outage_s):
        now_s = boot_clock_s()
        self.confirmed_s = now_s
        self.failing_since_s = now_s + FIRST_FAILURE_S
        self.failures = 1
        self.outage_end_s = now_s + outage_s

    async def confirm(self):
        """Fail after a timeout if the call is sent during the outage."""
        sent_s = boot_clock_s()
        if sent_s < self.outage_end_s:
            await trio.sleep(CALL_TIMEOUT_S)
            self.failures += 1
            raise StoreUnavailable("no answer", was_sent=True)
        self.confirmed_s = sent_s
        self.failing_since_s = 0.0
        self.failures = 0


@given("a leader whose store leaves calls unanswered for {outage_s:g} s")
def _monitored(context, outage_s):
    context.bridge.call(_monitor, context, outage_s)


async def _monitor(context, outage_s):
    context.log = _FailingLog(outage_s=outage_s)
    monitor = LeadershipMonitor(
        entry_log=context.log, on_store_unreachable=trio.lowlevel.checkpoint
    )
    context.bridge.nursery.start_soon(monitor.run)


@then("it has a new proof within {limit_s:g} s of the end of the outage")
def _proved(context, limit_s):
    context.bridge.call(_until_proved, context.log)
    late_s = context.log.confirmed_s - context.log.outage_end_s
    assert 0 <= late_s <= limit_s, late_s


async def _until_proved(log):
    with trio.fail_after(5):
        while log.confirmed_s < log.outage_end_s:
            await trio.sleep(0.01)
