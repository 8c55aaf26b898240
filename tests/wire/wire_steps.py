"""Steps for the encoding of messages."""

import dataclasses
import enum
import random
import typing

import hypothesis
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
