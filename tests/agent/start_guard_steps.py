"""Steps for the validation of starts."""

from behave import given
from behave import then
from behave import when

from radishlanding.agent.site_view import SiteView
from radishlanding.agent.start_guard import StartGuard
from radishlanding.message import Directory
from radishlanding.message import StartTask
from radishlanding.vm import Capacity
from radishlanding.vm import VmLease


def _directory(revision, zones_out):
    return Directory(
        revision=revision, zones_out=zones_out, entries=[], schedulers=[]
    )


@given(
    "an agent with a VM lease of {lease_s:g} s, owner epoch {epoch:d} and "
    "revision {revision:d}"
)
def _an_agent(context, lease_s, epoch, revision):
    vm_lease = VmLease(duration_s=lease_s, clock=lambda: 0.0)
    vm_lease.extend(sent_s=0.0)
    context.site = SiteView(zone="bole", schedulers=[])
    context.site.owner_epoch = epoch
    context.revision = revision
    context.guard = StartGuard(
        incarnation="me", lease=vm_lease, site=context.site
    )


@given("its zone is {service:w}")
def _its_zone(context, service):
    out = ["bole"] if service == "out" else []
    context.site.update(_directory(context.revision, out))


@when(
    "at {now_ms:d} ms a start arrives for {incarnation} with clock echo "
    "{echo_ms:d} ms, epoch {epoch:d} and revision {revision:d}"
)
def _a_start_arrives(context, now_ms, incarnation, echo_ms, epoch, revision):
    start = StartTask(
        task_id="j/0",
        epoch=1,
        owner_epoch=epoch,
        incarnation=incarnation,
        clock_echo_ms=echo_ms,
        revision=revision,
        needs=Capacity(),
        checkpoint="",
        organisation="abay-reef",
        template="tank-watch",
        parameters="{}",
        checkpoint_every_s=0.0,
    )
    context.reason = context.guard.task_refusal_reason(start, now_ms=now_ms)


@then("the start is accepted")
def _accepted(context):
    assert not context.reason, context.reason


@then("the start is refused: {reason}")
def _refused(context, reason):
    assert context.reason == reason, context.reason


@when("a directory of revision {revision:d} arrives in which no zone is out")
def _directory_arrives(context, revision):
    context.site.update(_directory(revision, []))


@then("its zone is still out")
def _still_out(context):
    assert context.site.is_zone_out
