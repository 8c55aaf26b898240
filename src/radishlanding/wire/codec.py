"""Encodes and decodes envelopes."""

import pathlib

import capnp

from radishlanding import message as messages
from radishlanding.wire.envelope import Envelope
from radishlanding.wire.malformed_message import MalformedMessage
from radishlanding.wire.struct_codec import StructCodec

TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024

capnp.remove_import_hook()
_schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))
_codec_by_type = {}
_codec_by_key = {}
for _name in messages.__all__:
    _key = _name[0].lower() + _name[1:]
    _cls = getattr(messages, _name)
    _codec_by_type[_cls] = (_key, StructCodec(_cls))
    _codec_by_key[_key] = _codec_by_type[_cls][1]


def encode(envelope):
    """Return the bytes of an envelope.

    :param envelope: An :class:`Envelope`.
    :returns: One Cap'n Proto message, without a length.
    """
    key, codec = _codec_by_type[type(envelope.message)]
    return _schema.Envelope.new_message(
        id=envelope.call_id,
        isReply=envelope.is_reply,
        body={key: codec.to_mapping(envelope.message)},
    ).to_bytes()


def decode(data):
    """Return the envelope that bytes hold.

    :param data: One Cap'n Proto message, without a length.
    :raises MalformedMessage: The bytes are no such message.
    """
    try:
        with _schema.Envelope.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as reader:
            key = reader.body.which()
            codec = _codec_by_key[str(key)]
            return Envelope(
                call_id=reader.id,
                is_reply=reader.isReply,
                message=codec.from_reader(getattr(reader.body, str(key))),
            )
    except (capnp.KjException, KeyError, ValueError) as exc:
        raise MalformedMessage(str(exc).splitlines()[0]) from exc
