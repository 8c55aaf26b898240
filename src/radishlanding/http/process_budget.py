"""Memory and descriptors of a process, divided among its connections."""

from radishlanding.http.memory_pool import MemoryPool
from radishlanding.http.parsing_budget import ParsingBudget

# The platform counts 200 of a process's descriptors as files.
FILE_DESCRIPTORS = 200
# Readiness checks and readers of metrics keep a connection each.
MAX_READY_CONNECTIONS = 64
MAX_METRICS_CONNECTIONS = 16
# Listeners, logs, links and calls of the process itself, connections that are
# being refused or closed, and those of its two pages.
OWN_DESCRIPTORS = 48 + MAX_READY_CONNECTIONS + MAX_METRICS_CONNECTIONS
MAX_CLIENT_CONNECTIONS = 1024
MAX_PEER_CONNECTIONS = 6000
# Shares of the memory. About half is left to the process's own state.
CONNECTIONS_SHARE = 1 / 5
STRANGERS_SHARE = 1 / 6
BODIES_SHARE = 1 / 16
REQUESTS_SHARE = 1 / 16
FRAMES_SHARE = 1 / 8
# Of one body. Lists of empty lists are decoded into 21 times their bytes, one
# body at a time.
BODY_SHARE = 1 / 64
# Set for the sockets of clients; the kernel allows itself twice as much.
# A body of 262,144 bytes takes 0.95 ms over loopback in place of 0.60 ms, and
# about 16 round trips over a link.
CLIENT_RECEIVE_BYTES = 16 * 1024
CLIENT_SEND_BYTES = 16 * 1024
# Both buffers, the headers and one read, and the objects of a connection.
CLIENT_CONNECTION_BYTES = 2 * (CLIENT_RECEIVE_BYTES + CLIENT_SEND_BYTES) + (
    32 * 1024
)
PEER_RECEIVE_BYTES = 64 * 1024
# The buffer, a part of a frame that needs no reservation, and objects.
PEER_CONNECTION_BYTES = 2 * PEER_RECEIVE_BYTES + 64 * 1024


class ProcessBudget:
    """Bound what the clients and peers of a process make it hold.

    :param client_connections: Connections of clients; a request in progress
        may need a second descriptor for a call to the store.
    :param peer_connections: Connections to the peer port.
    :param parsing: The :class:`ParsingBudget` of long input.
    :param stranger_connections: Those of them on which no message has
        arrived yet.
    :param bodies: :class:`MemoryPool` of request bodies that are being read.
    :param requests: :class:`MemoryPool` of requests that are decoded and
        carried out.
    :param frames: :class:`MemoryPool` of the messages of peers.
    :param largest_body_bytes: Longest body that the process can decode,
        whatever its limits allow, in bytes.
    """

    __slots__ = (
        "bodies",
        "client_connections",
        "frames",
        "largest_body_bytes",
        "parsing",
        "peer_connections",
        "requests",
        "stranger_connections",
    )

    def __init__(self, *, memory_mb, max_fds):
        """Divide the memory and the descriptors.

        :param memory_mb: Memory of the process's machine, in MB of 2^20
            bytes.
        :param max_fds: Descriptors that the process may have open.
        """
        memory_bytes = memory_mb * 2**20
        sockets = max(8, max_fds - FILE_DESCRIPTORS - OWN_DESCRIPTORS)
        self.client_connections = min(
            MAX_CLIENT_CONNECTIONS,
            sockets // 4,
            int(memory_bytes * CONNECTIONS_SHARE) // CLIENT_CONNECTION_BYTES,
        )
        self.peer_connections = min(
            MAX_PEER_CONNECTIONS, sockets - 2 * self.client_connections
        )
        self.stranger_connections = min(
            self.peer_connections,
            int(memory_bytes * STRANGERS_SHARE) // PEER_CONNECTION_BYTES,
        )
        self.largest_body_bytes = int(memory_bytes * BODY_SHARE)
        self.bodies = MemoryPool(limit_bytes=memory_bytes * BODIES_SHARE)
        self.parsing = ParsingBudget()
        self.requests = MemoryPool(limit_bytes=memory_bytes * REQUESTS_SHARE)
        self.frames = MemoryPool(limit_bytes=memory_bytes * FRAMES_SHARE)
