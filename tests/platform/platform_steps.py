"""Steps for the adapter to the users' platform."""

import json
import time

import trio
from behave import given
from behave import then
from behave import when

from radishlanding.config import Queue
from radishlanding.config import Site
from radishlanding.http import HttpError
from radishlanding.http import HttpRequest
from radishlanding.message import TaskOrder
from radishlanding.message import WorkflowAnswer
from radishlanding.observe import Counters
from radishlanding.platform import ClientApi
from radishlanding.platform import PlatformAdvisor
from radishlanding.platform import read_site
from radishlanding.platform import RegistrationApi
from radishlanding.platform import Runner
from radishlanding.store import Conflict
from radishlanding.store import HistoryCompacted
from radishlanding.store import KeyValue
from radishlanding.store import LeaseExpired
from radishlanding.store import StoreUnavailable
from radishlanding.store import Write
from radishlanding.store import WriteRefused
from radishlanding.vm import Capacity
from radishlanding.worker import AdvisorUnavailable
from radishlanding.worker import StartResult
from radishlanding.worker import WorkerReplaced
from radishlanding.workflow import WorkflowOutcome
from tests.dispatch.entry_log_steps import make_store
from tests.platform.open_permit import OpenPermit
from tests.standin.open_platform import open_platform_store
from tests.standin.open_platform import serve
from tests.standin.platform_advisor import PlatformAdvisor as Advisor
from tests.standin.platform_runner import PlatformRunner
from tests.standin.proxy import Proxy
from tests.standin.slow_link import SlowLink

JOB = "0123456789abcdef"


@given("a store of the platform")
def _a_store(context):
    context.platform_store, address = context.bridge.call(
        open_platform_store, context.bridge.nursery
    )
    context.store = make_store(address)
    context.before = context.platform_store.revision


def _call(context, function, *args, **kwargs):
    async def attempt():
        try:
            return await function(*args, **kwargs)
        except (
            Conflict,
            HistoryCompacted,
            LeaseExpired,
            StoreUnavailable,
        ) as exc:
            return exc

    return context.bridge.call(attempt)


def _write(context, *names, expected=None, lease=0, value=b"v"):
    return _call(
        context,
        context.store.transact,
        expected=expected or {},
        writes=[Write(key=name, value=value, lease=lease) for name in names],
    )


@when("two keys are written at once")
def _two_keys(context):
    context.version = _write(context, "my/b", "my/a")


@then("both are read with the same version")
def _both_read(context):
    for name in ("my/a", "my/b"):
        kv = _call(context, context.store.get, name)
        assert (kv.value, kv.version) == (b"v", context.version), kv


@then("a listing of their prefix has them in order")
def _listed(context):
    listing = _call(context, context.store.list, "my/")
    assert [item.key for item in listing.items] == ["my/a", "my/b"]


@then("a watch from the revision before returns both")
def _watched(context):
    changes = _call(
        context, context.store.watch, "my/", after=context.before, wait_s=1
    )
    assert sorted(item.key for item in changes.written) == ["my/a", "my/b"]
    assert changes.revision >= context.version


@when("a key is written that is expected to be absent, twice")
def _twice(context):
    context.answers = [
        _write(context, "my/a", expected={"my/a": 0}, value=value)
        for value in (b"first", b"second")
    ]


@then("the second is a conflict, and the first value stands")
def _conflict(context):
    assert isinstance(context.answers[1], Conflict)
    assert context.platform_store.get("my/a") == b"first"


@when("a key is written with a value that is too large")
def _too_large(context):
    context.platform_store.max_value_bytes = 100
    context.answer = _write(context, "my/a", value=b"v" * 101)


@then("the write is refused for good")
def _refused_for_good(context):
    assert isinstance(context.answer, WriteRefused), context.answer
    assert not context.answer.was_sent
    assert context.platform_store.get("my/a") is None


@when("{count:d} keys are written")
def _many(context, count):
    for number in range(count):
        context.platform_store.put(f"my/{number:05d}", b"v")
    context.count = count


@then("a listing of their prefix has all of them")
def _all_listed(context):
    listing = _call(context, context.store.list, "my/")
    assert len({item.key for item in listing.items}) == context.count


@given("a store of the platform behind a link of 2 Mbit/s")
def _slow_store(context):
    context.platform_store, address = context.bridge.call(
        open_platform_store, context.bridge.nursery
    )
    proxy = Proxy()
    proxy.upstream = address
    proxy.up_link, proxy.down_link = SlowLink(mbps=2), SlowLink(mbps=2)
    context.bridge.call(proxy.start, context.bridge.nursery)
    context.store = make_store(proxy.address)


@given("a store of the platform whose answers trickle")
def _trickling_store(context):
    body = b'{"key": "my/a", "value": "dg==", "revision": 7}'

    async def handle(stream):
        await stream.receive_some(65536)
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n"
        try:
            await stream.send_all(head % len(body))
            for index in range(len(body)):
                await trio.sleep(0.2)
                await stream.send_all(body[index : index + 1])
        except trio.BrokenResourceError:
            pass

    async def serve_raw():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        context.bridge.nursery.start_soon(
            trio.serve_listeners, handle, listeners
        )
        return listeners[0].socket.getsockname()[1]

    port = context.bridge.call(serve_raw)
    context.store = make_store(f"127.0.0.1:{port}")


@when("a key is read")
def _key_read(context):
    began_s = time.monotonic()
    context.answer = _call(context, context.store.get, "my/a")
    context.took_s = time.monotonic() - began_s


@then("the store counts as unavailable after {least_s:g} s to {most_s:g} s")
def _unavailable_after(context, least_s, most_s):
    assert isinstance(context.answer, StoreUnavailable), context.answer
    assert least_s <= context.took_s <= most_s, context.took_s


@when("a listing of 1 MB is transferred")
def _slow_listing(context):
    for number in range(25):
        context.platform_store.put(f"my/{number:02d}", bytes(40_000))
    context.answer = _call(context, context.store.list, "my/")
    context.is_complete = lambda: len(context.answer.items) == 25


@when("a value of 400 KB is transferred")
def _slow_value(context):
    context.platform_store.put("my/a", bytes(400_000))
    context.answer = _call(context, context.store.get, "my/a")
    context.is_complete = lambda: context.answer.value == bytes(400_000)


@when("a write of 400 KB is transferred")
def _slow_write(context):
    write = Write(key="my/a", value=bytes(400_000))
    context.answer = _call(
        context, context.store.transact, expected={"my/a": 0}, writes=[write]
    )
    context.is_complete = lambda: (
        context.platform_store.get("my/a") == bytes(400_000)
    )


@then("the transfer is complete")
def _transfer_complete(context):
    assert not isinstance(context.answer, Exception), context.answer
    assert context.is_complete()


@when("a key is written and the store compacts its history")
def _forgets(context):
    _write(context, "my/a")
    context.platform_store.compact_history()


@then("a watch from the revision before fails because of the compaction")
def _gone(context):
    answer = _call(
        context, context.store.watch, "my/", after=context.before, wait_s=1
    )
    assert isinstance(answer, HistoryCompacted), answer


@when("a key is written under a lease that ends")
def _leased(context):
    context.lease = _call(context, context.store.grant, ttl_s=5)
    _write(context, "my/a", lease=context.lease)
    assert context.platform_store.get("my/a") == b"v"
    _call(context, context.store.revoke, context.lease)


@then("the key is absent")
def _absent(context):
    assert _call(context, context.store.get, "my/a") is None
    assert not _call(context, context.store.keep_alive, context.lease)


@then("another write under that lease is refused")
def _refused_lease(context):
    answer = _write(context, "my/a", lease=context.lease)
    assert isinstance(answer, LeaseExpired), answer


@when("a key is written while the store is {mode:w}")
def _mode(context, mode):
    context.platform_store.mode = mode
    context.answer = _write(context, "my/a")


@then(
    "the store counts as unavailable, and the write {effect} have taken effect"
)
def _unavailable(context, effect):
    assert isinstance(context.answer, StoreUnavailable), context.answer
    assert context.answer.was_sent == (effect == "may")


def _config(**changes):
    return {
        "version": 7,
        "routes": [
            {
                "name": "q",
                "host": "desk.example",
                "prefix": "/jobs/",
                "service": "pool-a",
                "priority": 2,
                "maxAttempts": 3,
                "stretch": 1.5,
                "targetLatencyMs": 250,
                "timeoutMs": 3000,
            },
            {
                "name": "special",
                "host": "desk.example",
                "prefix": "/jobs/special/",
                "service": "pool-a",
            },
        ],
        "services": [{"name": "pool-b", "spare": True}],
        "limits": {
            "maxHeaderBytes": 8000,
            "maxBodyBytes": 100_000,
            "headerTimeoutMs": 2000,
            "idleTimeoutMs": 0,
        },
        **changes,
    }


def _operators_keys(value, *zones):
    keys = {"op/config": value}
    keys.update({f"op/evacuate/{zone}": b"{}" for zone in zones})
    return {
        key: KeyValue(key=key, value=data, version=1)
        for key, data in keys.items()
    }


@given("operators' keys with a queue, two zones out and a spare pool")
def _operators(context):
    value = json.dumps(_config()).encode()
    context.site = read_site(_operators_keys(value, "z0", "z1"))


@then("the site has that queue, both zones and that pool")
def _site(context):
    assert context.site.version == 7
    assert context.site.zones_out == {"z0", "z1"}
    assert context.site.spare_pools == {"pool-b"}
    assert context.site.queues["q"] == Queue(
        name="q",
        host="desk.example",
        prefix="/jobs/",
        pool="pool-a",
        priority=2,
        max_attempts=3,
        stretch=1.5,
        latency_ms=250,
        timeout_ms=3000,
    )


@then("the site has the limits to clients, and the default of one that is 0")
def _limits(context):
    site = context.site
    assert site.max_header_bytes == 8000
    assert site.max_body_bytes == 100_000
    assert site.header_timeout_ms == 2000
    assert site.idle_timeout_ms == 15_000


@then("a request is matched by its host and the longest prefix")
def _matched(context):
    find = context.site.find_queue
    assert find("desk.example", "/jobs/1").name == "q"
    assert find("desk.example", "/jobs/special/1").name == "special"
    assert find("else.example", "/jobs/1") is None


@given("operators' keys with a second URL of a queue")
def _second_url(context):
    cfg = _config()
    (route,) = [item for item in cfg["routes"] if item["name"] == "q"]
    cfg["routes"].append({**route, "host": "second.example"})
    context.site = read_site(_operators_keys(json.dumps(cfg).encode()))


@then("requests at both URLs are for that queue")
def _both_urls(context):
    for host in ("desk.example", "second.example"):
        queue = context.site.find_queue(host, "/jobs/1")
        assert queue is not None, host
        assert (queue.name, queue.host) == ("q", host), queue


@given("operators' keys whose configuration is {damage}")
def _damaged(context, damage):
    value = {
        "no JSON": b"{",
        "a list": b"[]",
        "without routes": b'{"version":1}',
        "a string route": b'{"version":1,"routes":["x"]}',
    }[damage]
    context.site = read_site(_operators_keys(value))


@then("the site has version 0")
def _version_0(context):
    assert context.site.version == 0


class _ReportRecorder:
    """Record the reports and departures of workers."""

    __slots__ = ("reports",)

    def __init__(self):
        self.reports = []

    def worker_reported(self, report):
        """Record a report."""
        self.reports.append(report)

    def worker_left(self, worker_id):
        """Record that a worker has left."""
        self.reports.append(worker_id)


def _ping(context, body):
    context.recorder = _ReportRecorder()
    api = RegistrationApi(handler=context.recorder, counters=Counters())
    req = HttpRequest(method="PUT", target="/-/instances/i-1", body=body)
    context.status = _respond(context, api, req).status


def _respond(context, api, req):
    async def respond():
        try:
            return await api.respond(req)
        except HttpError as exc:
            return exc

    return context.bridge.call(respond)


PING = {
    "service": "pool-a",
    "address": "10.0.0.1:80",
    "zone": "z0",
    "state": "draining",
    "sequence": 4,
    "born": 1700,
    "freeCapacity": {"cpu": 16000, "memMb": 32768, "gpu": 1},
    "labels": ["a", "r1"],
    "remainingMs": 900,
    "new field": None,
}


@when("a runner sends a ping while it drains")
def _ping_while_draining(context):
    _ping(context, json.dumps(PING).encode())


@then("the report is draining and has the runner's boot, labels and capacity")
def _report(context):
    (report,) = context.recorder.reports
    assert context.status == 200
    assert report.is_draining
    assert report.remaining_ms == 900
    assert report.boot == "i-1/1700"
    assert report.labels == ["a", "r1"]
    assert report.capacity == Capacity(
        millicores=16000, memory_mb=32768, accelerators=1
    )


@when("a runner's ping has {damage}")
def _bad_ping(context, damage):
    ping = dict(PING)
    match damage:
        case "no state":
            del ping["state"]
        case "an unknown state":
            ping["state"] = "resting"
        case "a string as number":
            ping["sequence"] = "4"
        case "true as number":
            ping["born"] = True
        case "no capacity":
            ping["freeCapacity"] = None
        case "numbers as labels":
            ping["labels"] = [1]
        case "a capacity of 10^30":
            ping["freeCapacity"] = {"cpu": 10**30, "memMb": 1}
        case "a negative capacity":
            ping["freeCapacity"] = {"cpu": -1, "memMb": 1}
        case "a remaining time of 10^30":
            ping["remainingMs"] = 10**30
        case "an infinite number":
            ping["remainingMs"] = float("inf")
        case "port 0":
            ping["address"] = "10.0.0.1:0"
        case "port 99999":
            ping["address"] = "10.0.0.1:99999"
        case "a host name":
            ping["address"] = "vm-1.example:80"
        case "an unpaired surrogate":
            ping["zone"] = "\ud800"
        case "a zone of 1 MB":
            ping["zone"] = "z" * 1_000_000
        case "200000 labels":
            ping["labels"] = ["a"] * 200_000
    body = json.dumps(ping).encode()
    if damage == "no JSON":
        body = b"{"
    elif damage == "200000 levels":
        body = _deeply_nested(body)
    _ping(context, body)


def _deeply_nested(body):
    """Return a JSON object with a field of 200,000 nested lists added."""
    return body[:-1] + b',"x":' + b"[" * 200_000 + b"]" * 200_000 + b"}"


@when("a runner whose identity is {identity} sends a ping")
def _odd_identity(context, identity):
    context.recorder = _ReportRecorder()
    api = RegistrationApi(handler=context.recorder, counters=Counters())
    req = HttpRequest(
        method="PUT",
        target=f"/-/instances/{identity}",
        body=json.dumps(PING).encode(),
    )
    context.status = _respond(context, api, req).status


@then("it is answered with 400 and not reported")
def _rejected(context):
    assert context.status == 400, context.status
    assert context.recorder.reports == []


class _LeaderClient:
    """Answer every call with the same outcome."""

    __slots__ = ("_answer", "calls")

    def __init__(self, outcome):
        retry_after_s = 1 if outcome == WorkflowOutcome.REFUSED else 0
        self._answer = WorkflowAnswer(
            outcome=outcome, phase="running", retry_after_s=retry_after_s
        )
        self.calls = []

    async def submit(self, workflow, queue, *, request_id, timeout_s):
        """Answer a submission."""
        self.calls.append(workflow)
        return self._answer

    async def find(self, workflow_id, queue, *, timeout_s):
        """Answer a query."""
        self.calls.append(workflow_id)
        return self._answer


def _client_api(context, outcome="found"):
    context.leader_client = _LeaderClient(WorkflowOutcome(outcome))
    queue = Queue(
        name="q",
        host="desk.example",
        prefix="/jobs/",
        pool="pool-a",
        priority=2,
        max_attempts=3,
        stretch=1.5,
        latency_ms=250,
    )
    site = Site(version=1, queues={"q": queue})
    return ClientApi(leader_client=context.leader_client, site=lambda: site)


def _client(
    context, method, path, *, host="desk.example", body=b"", **options
):
    req = HttpRequest(
        method=method, target=path, headers={"host": host}, body=body
    )
    api = _client_api(context, **options)
    context.response = _respond(context, api, req)


def _body(**changes):
    step = {"count": 2, "cpu": 500, "memMb": 100, "estimatedMs": 900}
    return json.dumps({"spec": "s", "steps": [step], **changes}).encode()


@given("a queue whose leader answers a submission with {outcome:w}")
def _submission(context, outcome):
    _client(context, "POST", f"/jobs/{JOB}", body=_body(), outcome=outcome)


@given("a queue whose leader answers a query with {outcome:w}")
def _query(context, outcome):
    _client(context, "GET", f"/jobs/{JOB}", outcome=outcome)


@then("the client gets {status:d} and {header}")
def _client_gets(context, status, header):
    assert context.response.status == status, context.response
    found = context.response.headers.get("retry-after", "")
    assert found == ("1" if "1 s" in header else ""), found


@then("the querying client gets {status:d}")
@then("the client's request gets {status:d}")
def _gets(context, status):
    assert context.response.status == status, context.response
    if status == 200:
        assert context.response.json() == {"state": "running"}


@when("a client submits a job with {damage}")
def _bad_job(context, damage):
    body = {
        "no JSON": b"{",
        "no steps": _body(steps=[]),
        "a step after itself": _body(steps=[{"count": 1, "after": [0]}]),
        "a step of 0 tasks": _body(steps=[{"count": 0}]),
        "a spec of 5000 bytes": _body(spec="x" * 5000),
        "a spec that is a number": _body(spec=1),
        "200000 levels": _deeply_nested(_body()),
        "a step of 10^30 cores": _body(steps=[{"count": 1, "cpu": 10**30}]),
        "a step of 10^30 tasks": _body(steps=[{"count": 10**30}]),
        "a time of 10^30 ms": _body(firstRunMs=10**30),
        "a negative capacity": _body(steps=[{"count": 1, "memMb": -1}]),
        "a number as image": _body(steps=[{"count": 1, "image": 7}]),
        "an unpaired surrogate": _body(spec="\ud800"),
        "a list as job": b"[1]",
    }[damage]
    _client(context, "POST", f"/jobs/{JOB}", body=body)


@then("the job is answered with 400 and the leader is not called")
def _leader_not_called(context):
    assert context.response.status == 400, context.response
    assert context.leader_client.calls == []


@when("a client requests {path} of {host}")
def _requests(context, path, host):
    _client(context, "GET", path, host=host)


@when("a client submits a job whose step uses every field")
def _every_field(context):
    step = {
        "count": 2,
        "cpu": 500,
        "memMb": 100,
        "gpu": 1,
        "estimatedMs": 900,
        "after": [0],
        "checkpointing": True,
        "gang": True,
        "sameRack": True,
        "requirements": "a",
        "affinity": "r1",
        "antiAffinity": 3,
        "speculative": True,
        "longRunning": True,
        "image": "i",
        "targetMs": 70,
        "fills": True,
        "mayMiss": 1,
    }
    body = _body(
        steps=[{"count": 1}, step],
        repeatCount=3,
        firstRunMs=5000,
        intervalMs=700,
    )
    _client(context, "POST", f"/jobs/{JOB}", body=body)


@then("the decoded workflow has the same values")
def _same(context):
    (workflow,) = context.leader_client.calls
    assert (workflow.queue, workflow.pool) == ("q", "pool-a")
    assert (workflow.priority, workflow.max_attempts) == (2, 3)
    assert (workflow.stretch, workflow.latency_ms) == (1.5, 250)
    assert workflow.due_ms(2) == 6400
    step = workflow.steps[1]
    assert step.needs == Capacity(
        millicores=500, memory_mb=100, accelerators=1
    )
    assert (step.count, step.estimated_ms, step.after) == (2, 900, [0])
    assert all(
        (
            step.checkpointing,
            step.gang,
            step.same_rack,
            step.speculative,
            step.standing,
            step.fills,
        )
    )
    assert (step.label, step.data_rack, step.max_per_vm) == ("a", "r1", 3)
    assert (step.image, step.latency_target_ms) == ("i", 70)
    assert step.max_unavailable == 1
    assert step.reserved.millicores == 0


@given("a runner of the platform")
def _a_runner(context):
    context.bridge.call(_open_runner, context)


async def _open_runner(context):
    nursery = context.bridge.nursery
    runner = PlatformRunner(
        worker_id="i-1", zone="z0", pool="pool-a", record=[]
    )
    context.runner_address = await serve(nursery, runner)
    context.runner = Runner(address=context.runner_address, worker_id="i-1")
    nursery.start_soon(runner.run_tasks)


def _order(index):
    return TaskOrder(
        task_id=f"{JOB}.0.0.{index}",
        attempt=1,
        spec="stand",
        reserved=Capacity(),
    )


async def _start(runner, order, permit):
    return await runner.start(order, permit=permit)


@when("a task is started there, and another with an older fencing token")
def _two_starts(context):
    context.results = [
        context.bridge.call(
            _start, context.runner, _order(index), OpenPermit(fence=fence)
        )[0]
        for index, fence in ((0, 7), (1, 6))
    ]


@then("the first has started and the second is fenced")
def _results(context):
    wanted = [StartResult.STARTED, StartResult.FENCED]
    assert context.results == wanted, context.results


def _list_attempts(context, runner):
    return context.bridge.call(
        runner.list_attempts,
        fence=7,
        born_ms=0,
        settled_number=0,
        deadline_ms=9000,
        wait_s=0,
    )


@then("a listing has only the first")
def _listing(context):
    listing = _list_attempts(context, context.runner)
    (row,) = listing.running
    assert (row.task_id, row.attempt) == (f"{JOB}.0.0.0", 1)
    assert listing.born_ms > 0


@then("a call meant for another runner reports that the worker was replaced")
def _other(context):
    other = Runner(address=context.runner_address, worker_id="i-2")
    try:
        _list_attempts(context, other)
    except WorkerReplaced:
        return
    raise AssertionError("the runner answered")


@given("an advisor of the platform that permits i-1 and i-3")
def _an_advisor(context):
    async def start():
        context.standin = Advisor(permitted=["i-1", "i-3"], decide_s=0.01)
        address = await serve(context.bridge.nursery, context.standin)
        context.advisors = [
            PlatformAdvisor(address=address) for _ in range(40)
        ]

    context.bridge.call(start)


@when("the advisor is asked about i-1, i-2 and i-3")
def _is_asked(context):
    context.tickets = context.bridge.call(
        context.advisors[0].advise,
        f"{JOB}.0.0",
        ["i-1", "i-2", "i-3"],
        timeout_s=10.0,
    )


@then("i-1 and i-3 have tickets")
def _have_tickets(context):
    wanted = {"i-1": "ticket-i-1", "i-3": "ticket-i-3"}
    assert context.tickets == wanted, context.tickets


@when("40 calls arrive while the advisor decides")
def _many_calls(context):
    context.tickets, context.unanswered = [], 0

    async def ask(advisor):
        try:
            context.tickets.append(
                await advisor.advise(JOB, ["i-1"], timeout_s=10.0)
            )
        except AdvisorUnavailable:
            context.unanswered += 1

    async def ask_all():
        async with trio.open_nursery() as nursery:
            for advisor in context.advisors:
                nursery.start_soon(ask, advisor)

    context.bridge.call(ask_all)


@then("some calls have no answer, and the others have tickets")
def _some_unanswered(context):
    assert 0 < context.unanswered < 40, context.unanswered
    assert all(found == {"i-1": "ticket-i-1"} for found in context.tickets)
