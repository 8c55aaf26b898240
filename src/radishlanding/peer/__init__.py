"""Connections between processes of the system."""

from radishlanding.peer.call_refused import CallRefused
from radishlanding.peer.call_withdrawn import CallWithdrawn
from radishlanding.peer.connection import Connection
from radishlanding.peer.connection_lost import ConnectionLost
from radishlanding.peer.handler import Handler
from radishlanding.peer.link import dial
from radishlanding.peer.link import Link
from radishlanding.peer.link import RECONNECT_TIMEOUT_S
from radishlanding.peer.server import PeerServer

__all__ = [
    "CallRefused",
    "CallWithdrawn",
    "Connection",
    "ConnectionLost",
    "Handler",
    "Link",
    "PeerServer",
    "RECONNECT_TIMEOUT_S",
    "dial",
]
