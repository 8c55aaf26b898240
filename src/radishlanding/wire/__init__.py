"""Cap'n Proto encoding of the messages between processes."""

from radishlanding.wire.codec import decode
from radishlanding.wire.codec import encode
from radishlanding.wire.envelope import Envelope
from radishlanding.wire.malformed_message import MalformedMessage

__all__ = ["Envelope", "MalformedMessage", "decode", "encode"]
