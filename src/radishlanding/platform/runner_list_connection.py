"""Connection over which a runner of the platform lists its attempts."""

import trio

from radishlanding.http import HttpClient
from radishlanding.platform.listing import decode_listing
from radishlanding.worker import WorkerReplaced
from radishlanding.worker import WorkerUnavailable

# A listing holds up to 500 ended attempts and all running ones.
MAX_ANSWER_BYTES = 1024 * 1024
# A slow runner answers late.
LIST_TIMEOUT_S = 1.0


class RunnerListConnection:
    """Implement :class:`radishlanding.worker.ListConnection` over HTTP.

    The TCP connection is opened when needed. It ends with the boot that
    accepted it.
    """

    __slots__ = ("_client", "_listed_born_ms", "_send")

    def __init__(self, *, address, send):
        """Create the client without connecting.

        :param address: ``ip:port`` of the runner.
        :param send: Coroutine function that takes the client, the name of a
            call, its value and ``timeout_s``, and returns the status and the
            value of the answer.
        """
        self._client = HttpClient(
            address=address, max_body_bytes=MAX_ANSWER_BYTES
        )
        self._send = send
        # Boot that answered last on the open connection.
        self._listed_born_ms = None

    async def list_attempts(
        self,
        *,
        fence,
        born_ms,
        settled_number,
        deadline_ms,
        wait_s,
        timeout_s=LIST_TIMEOUT_S,
    ):
        """Extend the deadline, and list running and ended attempts.

        The first listing on a connection neither extends the deadline nor
        settles ends, as it may reach a later boot than the one that these
        numbers come from.

        :param fence: Fencing token.
        :param born_ms: Boot that the other numbers come from, as Unix time of
            its start in milliseconds.
        :param settled_number: Number of the last end that the runner may
            forget.
        :param deadline_ms: The new deadline on the runner's clock in
            milliseconds, None to keep the current one.
        :param wait_s: How long to wait for an attempt to end, in seconds.
        :param timeout_s: How much longer to wait for the answer, in seconds.
        :returns: A :class:`radishlanding.worker.AttemptListing`, None if the
            fencing token is outdated.
        :raises WorkerReplaced: Another runner answers at this address.
        :raises WorkerUnavailable: The runner gave no usable answer.
        """
        value = {"fencingToken": fence, "ackedUpto": 0}
        if self._client.has_idle_connection and (
            self._listed_born_ms == born_ms
        ):
            value["ackedUpto"] = settled_number
            if deadline_ms is not None:
                value["deadlineMs"] = deadline_ms
            if wait_s:
                value["waitMs"] = int(wait_s * 1000)
        self._listed_born_ms = None
        status, answer = await self._send(
            self._client, "hold", value, timeout_s=timeout_s + wait_s
        )
        if status == 421:
            raise WorkerReplaced("another runner answers at this address")
        if status == 409:
            return None
        if status != 200:
            raise WorkerUnavailable(f"hold: status {status}")
        try:
            listing = decode_listing(answer)
        except (TypeError, ValueError) as exc:
            raise WorkerUnavailable(f"hold: {exc}") from exc
        self._listed_born_ms = listing.born_ms or born_ms
        return listing

    async def close(self):
        """Close the TCP connection, also if the caller is cancelled."""
        with trio.CancelScope(shield=True):
            await self._client.close()
