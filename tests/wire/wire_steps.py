"""Steps for the encoding of messages."""

import dataclasses
import enum
import pathlib
import random
import tempfile
import time
import typing

import capnp
import hypothesis
from behave import given
from behave import then
from hypothesis import strategies

from radishlanding import message as messages
from radishlanding.wire import codec
from radishlanding.wire import decode
from radishlanding.wire import encode
from radishlanding.wire import Envelope
from radishlanding.wire import MalformedMessage

SEED = 20_261_204


def _sample(hint):
    """Return a value of a type that differs from the type's default."""
    if typing.get_origin(hint) is list:
        return [_sample(typing.get_args(hint)[0])] * 2
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        return hint(**{name: _sample(item) for name, item in hints.items()})
    if issubclass(hint, enum.Enum):
        return list(hint)[1]
    return {str: "té", bytes: b"\0x", int: 2**40, float: 1.5, bool: True}[hint]


def _sample_messages():
    """Yield a sample of each message type that an envelope can contain."""
    body = codec._schema.Envelope.new_message().body
    keys = set(body.schema.union_fields)
    names = {name[0].lower() + name[1:]: name for name in messages.__all__}
    assert keys <= names.keys(), keys - names.keys()
    for key in sorted(keys):
        yield _sample(getattr(messages, names[key]))


@then("each message type is equal after encoding and decoding")
def _round_trip(_context):
    count = 0
    for message in _sample_messages():
        envelope = Envelope(call_id=7, is_reply=False, message=message)
        assert decode(encode(envelope)) == envelope, message
        count += 1
    assert count >= 28, count


def _zero(hint):
    """Return the value that a field reads as if it was not set."""
    if typing.get_origin(hint) is list:
        return []
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        return hint(**{name: _zero(item) for name, item in hints.items()})
    if issubclass(hint, enum.Enum):
        return list(hint)[0]
    return hint()


@then("each message type without values is equal after encoding and decoding")
def _zero_round_trip(_context):
    for sample in _sample_messages():
        envelope = Envelope(
            call_id=0, is_reply=False, message=_zero(type(sample))
        )
        assert decode(encode(envelope)) == envelope, envelope


def _mapping(value):
    """Return a message as a mapping of schema names to values."""
    if dataclasses.is_dataclass(value):
        mapping = {}
        for field in dataclasses.fields(value):
            first, *rest = field.name.split("_")
            key = first + "".join(word.title() for word in rest)
            mapping[key] = _mapping(getattr(value, field.name))
        return mapping
    if isinstance(value, list):
        return [_mapping(item) for item in value]
    return str(value) if isinstance(value, enum.Enum) else value


def _encode_mapping(message, mapping):
    """Encode a message as the build before did."""
    name = type(message).__name__
    return codec._schema.Envelope.new_message(
        id=7, isReply=True, body={name[0].lower() + name[1:]: mapping}
    ).to_bytes()


def _read_mapping(data):
    with codec._schema.Envelope.from_bytes(data) as reader:
        return reader.to_dict()


@then("each message type converts from and to a mapping alike")
def _is_alike(_context):
    for message in _sample_messages():
        envelope = Envelope(call_id=7, is_reply=True, message=message)
        data = _encode_mapping(message, _mapping(message))
        assert decode(data) == envelope, message
        assert _read_mapping(data) == _read_mapping(encode(envelope)), message


@given("a build whose schema lacks {field:w} of {struct:w}")
def _earlier_schema(context, field, struct):
    path = pathlib.Path(codec.__file__).with_name("peer.capnp")
    head, start, body = path.read_text().partition(f"struct {struct} {{")
    lines = body.splitlines(keepends=True)
    kept = [line for line in lines if not line.startswith(f"  {field} @")]
    assert len(kept) == len(lines) - 1, field
    with tempfile.TemporaryDirectory() as folder:
        earlier = pathlib.Path(folder, "peer.capnp")
        earlier.write_text(head + start + "".join(kept))
        # A parser of its own, as both schemas have the same identities.
        context.schema = capnp.SchemaParser().load(str(earlier))


def _report_mapping(report):
    """Return a report as a mapping without ``isUnconfirmed``."""
    mapping = _mapping(report)
    for item in mapping["running"]:
        del item["isUnconfirmed"]
    return mapping


@then("attempts in its reports read as confirmed, with equal other fields")
def _reads_confirmed(context):
    report = _sample(messages.VmReport)
    data = context.schema.Envelope.new_message(
        id=7, isReply=True, body={"vmReport": _report_mapping(report)}
    ).to_bytes()
    message = decode(data).message
    assert not any(item.is_unconfirmed for item in message.running)
    assert _report_mapping(message) == _report_mapping(report), message


@then("it reads attempts that are unconfirmed, with equal other fields")
def _reads_rest(context):
    report = _sample(messages.VmReport)
    assert all(item.is_unconfirmed for item in report.running)
    data = encode(Envelope(call_id=7, is_reply=True, message=report))
    with context.schema.Envelope.from_bytes(data) as reader:
        mapping = reader.to_dict()["body"]["vmReport"]
    assert mapping == _report_mapping(report), mapping


def _report(count):
    report = _sample(messages.VmReport)
    report.running = report.running[:1] * count
    return report


def _cost_s(function, *args):
    """Return the least processor time of several calls, in seconds."""
    costs = []
    for _ in range(30):
        began_s = time.thread_time()
        function(*args)
        costs.append(time.thread_time() - began_s)
    return min(costs)


@then("encoding a report of {count:d} tasks takes less than half of that")
def _is_fast(_context, count):
    report = _report(count)
    envelope = Envelope(call_id=7, is_reply=True, message=report)
    bound_s = _cost_s(_encode_mapping, report, _mapping(report)) / 2
    cost_s = _cost_s(encode, envelope)
    assert cost_s < bound_s, (cost_s, bound_s)


@then(
    "decoding a report of {count:d} tasks takes less than {percent:d} percent "
    "of that"
)
def _is_read_fast(_context, count, percent):
    data = encode(Envelope(call_id=7, is_reply=True, message=_report(count)))
    bound_s = _cost_s(_read_mapping, data) * percent / 100
    cost_s = _cost_s(decode, data)
    assert cost_s < bound_s, (cost_s, bound_s)


def _heartbeat():
    return encode(
        Envelope(
            call_id=1, is_reply=False, message=_sample(messages.Heartbeat)
        )
    )


@then("{what} are refused as malformed")
@then("{what} is refused as malformed")
def _refused(_context, what):
    data = {
        "no bytes": b"",
        "three bytes": b"abc",
        "a cut message": _heartbeat()[:-16],
        "64 bytes of ones": b"\xff" * 64,
        "an unknown enum": _heartbeat().replace(b"stopping", b"sleeping"),
    }[what]
    try:
        decode(data)
    except MalformedMessage:
        return
    raise AssertionError("the bytes were decoded")


@then("3000 mutated messages from a fixed seed are decoded or refused")
def _mutated(_context):
    rng = random.Random(SEED)
    samples = [
        encode(Envelope(call_id=1, is_reply=False, message=message))
        for message in _sample_messages()
    ]
    for _ in range(3000):
        data = bytearray(rng.choice(samples))
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        try:
            decode(bytes(data))
        except MalformedMessage:
            continue


@then("500 byte strings from a fixed seed are decoded or refused")
def _any_bytes(_context):
    @hypothesis.settings(
        derandomize=True, database=None, deadline=None, max_examples=500
    )
    @hypothesis.given(strategies.binary(max_size=400))
    def check(data):
        try:
            decode(data)
        except MalformedMessage:
            return

    check()
