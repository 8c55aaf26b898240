"""Interface of a connection over which a worker lists its attempts."""

import typing


class ListConnection(typing.Protocol):
    """Carry one list at a time, beside the worker's other connections.

    The first list on it changes nothing at the worker.
    """

    async def list_attempts(
        self,
        *,
        fence,
        born_ms,
        settled_number,
        deadline_ms,
        wait_s,
        timeout_s,
    ):
        """Set the deadline, and return running and ended attempts.

        See :meth:`LeasedWorker.list_attempts`.
        """

    async def close(self):
        """Close the connection, also if the caller is cancelled."""
