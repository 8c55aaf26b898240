"""Steps for dispatchers and agents under clients that keep to no limit."""

import dataclasses
import socket

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.settings.dispatcher import DispatcherSettings
from radishlanding.settings.vm_agent import VmAgentSettings
from tests.standin.crowd import Crowd
from tests.standin.crowd import MEGABYTE
from tests.standin.process_usage import ProcessUsage

# Lower than the operator's, so that a few seconds show what they do.
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 262_144,
    "headerTimeoutMs": 1000,
    "idleTimeoutMs": 2000,
}
JOB = "00000000000000aa"
# Ends a test whose dispatcher or agent hangs.
HANG_S = 30.0


def _known(settings_type, **settings):
    """Return the settings that the program has.

    Earlier programs take no bounds and refuse settings that they don't know.
    """
    names = {field.name for field in dataclasses.fields(settings_type)}
    return {key: val for key, val in settings.items() if key in names}


def _free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


@given("a dispatcher with {memory_mb:d} MB and {max_fds:d} descriptors")
def _a_dispatcher(context, memory_mb, max_fds):
    metrics = f"127.0.0.1:{_free_port()}"
    context.platform_site = context.bridge.open_platform_site(
        dispatchers=1,
        machines=1,
        limits=LIMITS,
        dispatcher_settings={
            "metrics_listen": metrics,
            **_known(DispatcherSettings, memory_mb=memory_mb, max_fds=max_fds),
        },
    )
    context.process = context.platform_site.dispatchers[0]
    context.addresses = {**context.process.ports, "metrics": metrics}


@given("an agent with {memory_mb:d} MB and {max_fds:d} descriptors")
def _an_agent(context, memory_mb, max_fds):
    metrics = f"127.0.0.1:{_free_port()}"
    context.platform_site = context.bridge.open_platform_site(
        dispatchers=1,
        machines=1,
        limits=LIMITS,
        agent_settings={
            "metrics_listen": metrics,
            **_known(VmAgentSettings, memory_mb=memory_mb, max_fds=max_fds),
        },
    )
    context.process = context.platform_site.machines[0].agent
    context.addresses = {**context.process.ports, "metrics": metrics}


@when("{count:d} clients {behaviour} at its {door} port")
def _crowd(context, count, behaviour, door):
    address = context.addresses[door]
    context.usage = ProcessUsage(
        pid=context.process.popen.pid,
        ports=[int(address.rpartition(":")[2])],
    )
    crowd = Crowd(address=address, behaviour=behaviour, count=count)
    context.bridge.call(_run_measured, crowd, context.usage)


async def _run_measured(crowd, usage):
    async with trio.open_nursery() as nursery:
        nursery.start_soon(usage.run)
        await crowd.run()
        nursery.cancel_scope.cancel()
    print(
        f"hwm={usage.hwm_bytes / MEGABYTE:.1f} MB "
        f"queued={usage.queued_bytes / MEGABYTE:.1f} MB "
        f"descriptors={usage.descriptors}"
    )


@then("the dispatcher lives")
@then("the agent lives")
def _lives(context):
    assert context.process.is_running


@then(
    "its memory and what the kernel holds for it stayed below {limit_mb:d} MB"
)
def _memory_bounded(context, limit_mb):
    usage = context.usage
    held = usage.hwm_bytes + usage.queued_bytes
    assert held < limit_mb * MEGABYTE, (usage.hwm_bytes, usage.queued_bytes)


@then("it had at most {limit:d} descriptors open")
def _descriptors_bounded(context, limit):
    assert context.usage.descriptors <= limit, context.usage.descriptors


@then("an ordinary job is completed")
def _job_completed(context):
    context.bridge.call(_complete_job, context.platform_site)


async def _complete_job(site):
    with trio.fail_after(HANG_S):
        await site.submit_until_accepted(JOB, [{"count": 1}])
        await site.wait_state(JOB, "completed", timeout_s=HANG_S)


@then("an ordinary report to the agent is answered")
def _report_answered(context):
    context.bridge.call(_report, context.addresses["reports"])


async def _report(address):
    """Report until it is accepted, as a worker does."""
    client = HttpClient(address=address)
    path = "/-/instances/i-nobody"
    status = 0
    with trio.fail_after(HANG_S):
        while status != 200:
            try:
                response = await client.send("DELETE", path, timeout_s=3.0)
            except ExchangeFailed:
                status = 0
            else:
                status = response.status
                assert status in (200, 503), response
            await trio.sleep(0.1)


@when("a client is answered, and the operators lower maxBodyBytes to 100")
def _lower_limit(context):
    context.bridge.call(_connect_and_lower, context)


async def _connect_and_lower(context):
    host, _, port = context.addresses["http"].rpartition(":")
    context.stream = await trio.open_tcp_stream(host, int(port))
    assert await _post(context.stream) == 400
    site = context.platform_site
    site.limits = {**LIMITS, "maxBodyBytes": 100}
    site.set_config()


async def _post(stream):
    """Send a body of 101 bytes that is no job; return the status."""
    head = "POST /jobs/00000000000000bb HTTP/1.1\r\nhost: desk.example\r\n"
    head += "content-length: 101\r\n\r\n"
    await stream.send_all(head.encode() + b"x" * 101)
    received = b""
    while b"\r\n\r\n" not in received:
        data = await stream.receive_some(65536)
        assert data, received
        received += data
    return int(received.split()[1])


@then("a body of 101 bytes on the same connection is answered with 413")
def _is_too_large(context):
    context.bridge.call(_post_until_refused, context.stream)


async def _post_until_refused(stream):
    async with stream:
        with trio.fail_after(HANG_S):
            while (status := await _post(stream)) == 400:
                await trio.sleep(0.05)
    assert status == 413, status
