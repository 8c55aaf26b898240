"""Steps that feed arbitrary input to every decoder.

``FUZZ_FACTOR=n`` plays n times as many random examples; without it the
examples are the same in each run.
"""

import dataclasses
import functools
import json
import os
import zlib

import hypothesis
import trio
from behave import then
from hypothesis import strategies

from radishlanding.config import Queue
from radishlanding.http import HttpError
from radishlanding.http import HttpRequest
from radishlanding.http import HttpResponse
from radishlanding.membership import Member
from radishlanding.message import SubmitWorkflow
from radishlanding.message import VmHello
from radishlanding.message import VmState
from radishlanding.observe import Counters
from radishlanding.platform import KvStore
from radishlanding.platform import PlatformAdvisor
from radishlanding.platform import read_site
from radishlanding.platform import RegistrationApi
from radishlanding.platform import Runner
from radishlanding.platform.job import decode_job
from radishlanding.store import CallBudget
from radishlanding.store import compress
from radishlanding.store import CorruptRecord
from radishlanding.store import KeyValue
from radishlanding.store import pack
from radishlanding.store import StoreUnavailable
from radishlanding.store import unpack
from radishlanding.store import unpack_compressed
from radishlanding.vm import Capacity
from radishlanding.vmagent.worker_supervisor import WorkerSupervisor
from radishlanding.wire import decode
from radishlanding.wire import encode
from radishlanding.wire import Envelope
from radishlanding.wire import MalformedMessage
from radishlanding.worker import AdvisorUnavailable
from radishlanding.worker import WorkerUnavailable
from radishlanding.workflow import LogEntry

FACTOR = int(os.environ.get("FUZZ_FACTOR", "1"))
QUEUE = Queue(name="q", host="h", prefix="/", pool="p")
NUMBERS = strategies.one_of(
    strategies.integers(min_value=-2, max_value=9),
    strategies.sampled_from(
        (2**31, 2**53, 2**63, 2**64, -(2**63), 10**30, 10**400, 1e308)
    ),
    strategies.floats(),
)
SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    NUMBERS,
    strategies.text(
        alphabet=strategies.characters(exclude_categories=()), max_size=12
    ),
    strategies.sampled_from(
        ("ready", "draining", "127.0.0.1:80", "127.0.0.1:99999", "[::1]:0")
    ),
)


def _values(names):
    """Return a strategy of JSON values with known keys."""
    keys = strategies.sampled_from(names)
    return strategies.recursive(
        SCALARS,
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=6),
            strategies.dictionaries(keys, inner, max_size=8),
        ),
        max_leaves=30,
    )


def _bodies(valid):
    """Return a strategy of bodies: damaged valid ones, and any values.

    :param valid: A valid body as a JSON value.
    """
    names = sorted(_names(valid))
    values = _values(names)
    damaged = strategies.dictionaries(
        strategies.sampled_from(sorted(valid)), values, max_size=3
    ).map(lambda changes: {**valid, **changes})
    texts = strategies.one_of(damaged, values).map(
        lambda value: json.dumps(value).encode()
    )
    deep = strategies.integers(1, 100_000).map(
        lambda depth: (
            json.dumps(valid).encode()[:-1]
            + b',"x":'
            + b"[" * depth
            + b"]" * depth
            + b"}"
        )
    )
    return strategies.one_of(texts, deep, strategies.binary(max_size=40))


def _names(value):
    """Return the keys of all objects in a JSON value."""
    if isinstance(value, dict):
        return set(value).union(*map(_names, value.values()))
    if isinstance(value, list):
        return set().union(*map(_names, value))
    return set()


class _FixedClient:
    """Answer every call with one body."""

    __slots__ = ("_body", "has_idle_connection")

    def __init__(self, body):
        self._body = body
        self.has_idle_connection = False

    async def send(self, *_args, **_options):
        """Return the answer."""
        return HttpResponse(status=200, body=self._body)


class _Reports:
    """Encode what an agent sends for each report of a worker."""

    __slots__ = ("counters", "nursery")

    def __init__(self, nursery):
        self.counters = Counters()
        self.nursery = nursery

    def worker_reported(self, report):
        """Encode the hello for a report."""
        supervisor = WorkerSupervisor(
            report=report,
            make_worker=lambda found: Runner(
                address=found.address, worker_id=found.worker_id
            ),
            vm_lease_s=1.0,
            hold_max_s=1.0,
            nursery=self.nursery,
            counters=self.counters,
        )
        hello = VmHello(
            vm=supervisor.vm, epoch=1, clock_ms=1, state=supervisor.state()
        )
        _encode(hello)


def _encode(message):
    data = encode(Envelope(call_id=1, is_reply=False, message=message))
    assert decode(data).message == message


async def _check_ping(body):
    async with trio.open_nursery() as nursery:
        reports = _Reports(nursery)
        api = RegistrationApi(handler=reports, counters=reports.counters)
        req = HttpRequest(method="PUT", target="/-/instances/i-1", body=body)
        try:
            await api.respond(req)
        except HttpError as exc:
            assert exc.status == 400, exc.status


async def _check_listing(body):
    runner = Runner(address="127.0.0.1:1", worker_id="i-1")
    runner._list_conn._client = _FixedClient(body)
    try:
        listing = await runner.list_attempts(
            fence=1, born_ms=1, settled_number=0, deadline_ms=None, wait_s=0
        )
    except WorkerUnavailable:
        return
    json.dumps(dataclasses.asdict(listing), allow_nan=False).encode()


async def _check_advice(body):
    advisor = PlatformAdvisor(address="127.0.0.1:1")
    advisor._client = _FixedClient(body)
    try:
        tickets = await advisor.advise("s", ["i-1"], timeout_s=10.0)
    except AdvisorUnavailable:
        return
    json.dumps(tickets).encode()


async def _check_document(body):
    pack(read_site({"op/config": _item(body)}))


async def _check_job(body):
    try:
        workflow = decode_job("0" * 16, QUEUE, body)
    except ValueError:
        return
    _encode(SubmitWorkflow(workflow=workflow, request_id="r"))


async def _check_store(body):
    store = KvStore(
        address="127.0.0.1:1",
        budget=CallBudget(rate=10_000, burst=10_000),
        counters=Counters(),
    )
    store._client = _FixedClient(body)
    for call in (
        functools.partial(store.get, "k"),
        functools.partial(store.watch, "k", after=0, wait_s=1),
        functools.partial(store.transact, expected={}),
        functools.partial(store.grant, ttl_s=1),
    ):
        try:
            await call()
        except StoreUnavailable:
            continue


def _item(value):
    return KeyValue(key="k", value=value, version=1)


async def _check_record(cls, body):
    try:
        record = unpack(cls, body)
    except CorruptRecord:
        return
    assert unpack(cls, pack(record)) == record


async def _check_log_entry(body):
    try:
        entry = unpack_compressed(LogEntry, body)
    except CorruptRecord:
        return
    assert unpack_compressed(LogEntry, compress(pack(entry))) == entry


async def _check_message(body):
    try:
        decode(body)
    except MalformedMessage:
        return


LOG_ENTRY = {"commit_id": "c", "made_ms": 1, "ends": [], "cancelled": ["w"]}
CAPACITY = {"cpu": 1, "memMb": 1, "gpu": 0}
CASES = {
    "pings": (
        _check_ping,
        {
            "service": "p",
            "address": "127.0.0.1:80",
            "zone": "z",
            "state": "ready",
            "sequence": 1,
            "born": 1,
            "freeCapacity": CAPACITY,
            "labels": ["a"],
            "remainingMs": 1,
        },
    ),
    "listings": (
        _check_listing,
        {
            "clockMs": 1,
            "born": 1,
            "running": [["t", 1, "", 1, 2]],
            "ended": [[1, "t", 1, "done", ""]],
        },
    ),
    "advisor answers": (_check_advice, {"good": [["i-1", "t"]]}),
    "operator documents": (
        _check_document,
        {
            "version": 1,
            "routes": [
                {
                    "name": "q",
                    "host": "h",
                    "prefix": "/",
                    "service": "p",
                    "advice": {"decideMs": 1},
                    "stretch": 1.5,
                }
            ],
            "services": [{"name": "p", "spare": True}],
            "limits": {"maxBodyBytes": 1},
        },
    ),
    "jobs": (
        _check_job,
        {
            "spec": "s",
            "steps": [{"count": 1, "cpu": 1, "after": [], "image": "i"}],
            "repeatCount": 1,
            "firstRunMs": 1,
            "intervalMs": 1,
        },
    ),
    "store answers": (
        _check_store,
        {
            "key": "k",
            "value": "",
            "revision": 1,
            "storeRevision": 1,
            "items": [{"key": "k", "value": "", "revision": 1}],
            "events": [{"key": "k", "revision": 1, "deleted": True}],
            "lease": 1,
        },
    ),
    "member records": (
        functools.partial(_check_record, Member),
        {
            "kind": "dispatcher",
            "process_id": "p",
            "zone": "z",
            "address": "127.0.0.1:1",
            "strength": 1,
        },
    ),
    "log entries": (_check_log_entry, LOG_ENTRY),
}


def _message_bytes():
    """Return a strategy of damaged messages and any bytes."""
    valid = encode(
        Envelope(
            call_id=1,
            is_reply=False,
            message=_hello(),
        )
    )

    return _damaged(valid)


def _compressed_bytes():
    """Return a strategy of compressed values, valid ones and damaged ones."""
    valid = zlib.compress(json.dumps(LOG_ENTRY).encode())
    bodies = _bodies(LOG_ENTRY).map(zlib.compress)
    return strategies.one_of(bodies, _damaged(valid))


def _damaged(valid):
    """Return a strategy of changed and cut values, and of any bytes.

    :param valid: A valid value, in bytes.
    """

    def damage(changes):
        data = bytearray(valid)
        for position, value in changes.items():
            data[position % len(data)] = value
        return bytes(data)

    damaged = strategies.dictionaries(
        strategies.integers(0, len(valid)),
        strategies.integers(0, 255),
        max_size=12,
    ).map(damage)
    cut = strategies.integers(0, len(valid)).map(lambda size: valid[:size])
    return strategies.one_of(damaged, cut, strategies.binary(max_size=200))


def _hello():
    return VmHello(
        vm="127.0.0.1:1",
        epoch=1,
        clock_ms=1,
        state=VmState(
            boot="b",
            zone="z",
            pool="p",
            labels=["a"],
            capacity=Capacity(millicores=1),
            is_draining=False,
            remaining_ms=0,
        ),
    )


@then(
    "{count:d} examples of {kind} are decoded or refused, and what was "
    "decoded can be encoded"
)
def _fuzz(context, count, kind):
    if kind == "peer messages":
        check, bodies = _check_message, _message_bytes()
    elif kind == "compressed entries":
        check, bodies = _check_log_entry, _compressed_bytes()
    else:
        check, valid = CASES[kind]
        bodies = _bodies(valid)

    @hypothesis.settings(
        derandomize=FACTOR == 1,
        database=None,
        deadline=None,
        max_examples=count * FACTOR,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(bodies)
    def play(body):
        context.bridge.call(check, body)

    play()
