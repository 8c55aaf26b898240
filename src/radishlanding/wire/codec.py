"""Encoding and decoding of envelopes."""

import functools
import pathlib

import capnp

from radishlanding import message as messages
from radishlanding.wire.envelope import Envelope
from radishlanding.wire.malformed_message import MalformedMessage
from radishlanding.wire.struct_codec import StructCodec

WORD_BYTES = 8
# Words that may be read of a message beyond its length. Decoding what our
# encoder makes reads each word once (28,403 of 28,405 for a workflow of 1,000
# steps); a message whose pointers share objects could otherwise be decoded
# into many times its size.
TRAVERSAL_SLACK_WORDS = 4096

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
_type_name_by_key = {
    name[0].lower() + name[1:]: name for name in messages.__all__
}


@functools.cache
def _codec_for(cls):
    """Return the codec of a message type, created on first use."""
    return StructCodec(cls, _schema)


def encode(envelope):
    """Encode an envelope.

    :param envelope: An :class:`Envelope`.
    :returns: One Cap'n Proto message as bytes, without a length prefix.
    """
    cls = type(envelope.message)
    key = cls.__name__[0].lower() + cls.__name__[1:]
    builder = _schema.Envelope.new_message()
    builder.id = envelope.call_id
    builder.isReply = envelope.is_reply
    _codec_for(cls).write(builder.body.init(key), envelope.message)
    return builder.to_bytes()


def decode(data):
    """Decode an envelope.

    :param data: One Cap'n Proto message as bytes, without a length prefix.
    :returns: An :class:`Envelope`.
    :raises MalformedMessage: The bytes are not a message of the schema.
    """
    limit_words = len(data) // WORD_BYTES + TRAVERSAL_SLACK_WORDS
    try:
        with _schema.Envelope.from_bytes(
            data, traversal_limit_in_words=limit_words
        ) as reader:
            key = reader.body.which()
            codec = _codec_for(getattr(messages, _type_name_by_key[str(key)]))
            return Envelope(
                call_id=reader.id,
                is_reply=reader.isReply,
                message=codec.from_reader(getattr(reader.body, str(key))),
            )
    except (capnp.KjException, KeyError, ValueError) as exc:
        raise MalformedMessage(str(exc).splitlines()[0]) from exc
