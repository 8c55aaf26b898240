"""Encodes the messages between the processes as Cap'n Proto."""

from radishlanding.wire.codec import decode
from radishlanding.wire.codec import encode
from radishlanding.wire.envelope import Envelope
from radishlanding.wire.malformed_message import MalformedMessage

__all__ = ["Envelope", "MalformedMessage", "decode", "encode"]
