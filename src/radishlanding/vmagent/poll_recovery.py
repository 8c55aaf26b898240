"""Reaches a worker again after a lost poll."""

import trio

from radishlanding.vm import boot_clock_s
from radishlanding.vmagent.poll_result import PollResult

# A worker accepts 64 connections, and may keep those of lost calls open for
# 12 s: after ``FAST_S`` it gets fewer, which wait longer for a slow worker.
MAX_CONNECTIONS = 4
FAST_S = 2.0
FAST_INTERVAL_S = 0.15
FAST_TIMEOUT_S = 0.3
SLOW_INTERVAL_S = 0.4
SLOW_TIMEOUT_S = 1.0


class PollRecovery:
    """Poll a worker over further connections, side by side.

    The first list on a connection shows which boot has accepted it, and
    changes nothing at the worker. A poll that extends the deadline follows on
    the same connection. The first connection on which both are answered is
    kept, and the others are closed.
    """

    __slots__ = ("_poller", "_supervisor")

    def __init__(self, *, poller, supervisor):
        """Create an idle recovery.

        :param poller: The :class:`WorkerPoller`.
        :param supervisor: The :class:`WorkerSupervisor`.
        """
        self._poller = poller
        self._supervisor = supervisor

    async def run(self):
        """Return once polls go on, over the connection that is kept.

        Also returns when the worker has ended, or has started again.
        """
        supervisor, begun_s = self._supervisor, boot_clock_s()
        report, worker = supervisor.report, supervisor.worker
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            while (
                supervisor.report.boot == report.boot
                and not supervisor.has_left
            ):
                is_fast = boot_clock_s() - begun_s < FAST_S
                if len(nursery.child_tasks) < MAX_CONNECTIONS:
                    nursery.start_soon(
                        self._try,
                        worker,
                        report,
                        scope,
                        FAST_TIMEOUT_S if is_fast else SLOW_TIMEOUT_S,
                    )
                await trio.sleep(
                    FAST_INTERVAL_S if is_fast else SLOW_INTERVAL_S
                )
            scope.cancel()

    async def _try(self, worker, report, scope, timeout_s):
        """Poll the worker over one further connection.

        :param worker: The :class:`radishlanding.worker.LeasedWorker`.
        :param report: The newest :class:`radishlanding.worker.WorkerReport`
            of the worker when the recovery began.
        :param scope: The :class:`trio.CancelScope` of all these polls.
        :param timeout_s: How long to wait for an answer, in seconds.
        """
        conn = worker.open_list_connection()
        try:
            result = await self._poller.poll(
                conn, extends=False, timeout_s=timeout_s
            )
            if (
                result is PollResult.ANSWERED
                and self._supervisor.report.boot == report.boot
            ):
                result = await self._poller.poll(conn, timeout_s=timeout_s)
            if result is PollResult.LOST or scope.cancel_called:
                return
            scope.cancel()
            conn, kept = None, conn
            with trio.CancelScope(shield=True):
                await worker.keep_list_connection(kept)
        finally:
            if conn is not None:
                await conn.close()
