"""Steps for the messages of VMs to a dispatcher that does not lead."""

from behave import given
from behave import then
from behave import when

from radishlanding.dispatcher.handler import DispatcherHandler
from radishlanding.membership import Member
from radishlanding.message import VmHello
from radishlanding.message import VmReport
from radishlanding.message import VmState
from radishlanding.peer import CallRefused
from radishlanding.vm import Capacity

OWN_ADDRESS = "10.0.0.1:7620"
STATE = VmState(
    boot="b",
    zone="z0",
    pool="p",
    labels=[],
    capacity=Capacity(millicores=1000),
    is_draining=False,
    remaining_ms=0,
)


class _Candidate:
    """A candidate that has led."""

    __slots__ = ("known_leader", "leader", "led_epoch")

    def __init__(self, *, led_epoch, known_leader):
        self.known_leader = known_leader
        self.leader = None
        self.led_epoch = led_epoch


def _address(host):
    return {"nowhere": "", "itself": OWN_ADDRESS}.get(host, f"{host}:7620")


@given(
    "a dispatcher that led until epoch {epoch:d}, and knows a leader at {host}"
)
def _dispatcher(context, epoch, host):
    member = Member(
        kind="dispatcher", process_id="a", zone="z0", address=OWN_ADDRESS
    )
    context.handler = DispatcherHandler(member=member, site_watch=None)
    context.handler.set_candidate(
        _Candidate(led_epoch=epoch, known_leader=_address(host))
    )


def _send(context, message):
    async def handle():
        try:
            return await context.handler.handle(message, None)
        except CallRefused as exc:
            return exc.reason

    context.answer = context.bridge.call(handle)


@when("a VM that has followed epoch {epoch:d} introduces itself")
def _introduces(context, epoch):
    _send(context, VmHello(vm="vm1", epoch=epoch, clock_ms=1, state=STATE))


@when("a VM reports to it")
def _reports(context):
    _send(
        context,
        VmReport(
            vm="vm1",
            is_full=True,
            clock_ms=1,
            state=STATE,
            running=[],
            ended=[],
        ),
    )


@then("it is sent on to {host}")
def _sent_on(context, host):
    assert not context.answer.accepted
    assert context.answer.leader == _address(host), context.answer


@then("it is refused: {reason}")
def _refused(context, reason):
    assert context.answer == reason, context.answer
