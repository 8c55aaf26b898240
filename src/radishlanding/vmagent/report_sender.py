"""Reports a VM to the leader."""

import random

import trio

from radishlanding.message import VmReport
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.peer import ConnectionLost
from radishlanding.vm import boot_clock_s
from radishlanding.vm import clock_ms

CALL_TIMEOUT_S = 2.0
# Each report renews the VM lease, which by default lasts ten intervals.
REPORT_INTERVAL_S = 0.7
# Used while the leader needs no latency figures to estimate image weights.
RELAXED_REPORT_INTERVAL_S = 1.0
# Used while the lease is about to end, as after an outage of the store each
# tenth of a second until it is extended may end tasks.
URGENT_REPORT_INTERVAL_S = 0.3
SHORT_LEASE_S = 2.0
# Lets one report cover several ends that come at the same time.
MIN_REPORT_INTERVAL_S = 0.01

_log = EventLog("radishlanding.vmagent")


class ReportSender:
    """Send the reports of one VM, one after the other."""

    __slots__ = ("_links", "_supervisor")

    def __init__(self, *, links, supervisor):
        """Prepare the sender; :meth:`run` reports.

        :param links: The :class:`DispatcherLinks`.
        :param supervisor: The :class:`WorkerSupervisor` of the VM.
        """
        self._links = links
        self._supervisor = supervisor

    async def run(self):
        """Report to the leader until cancelled.

        A report is sent at each interval, and earlier when the supervisor's
        attempts change.
        """
        while True:
            interval_s = self._interval_s() * random.uniform(0.8, 1)
            with trio.move_on_after(interval_s):
                await self._supervisor.table.wait_changed()
            await trio.sleep(MIN_REPORT_INTERVAL_S)
            conn = self._links.leader_conn
            if conn is not None and self._supervisor.can_report:
                await self._send(conn)

    def _interval_s(self):
        if 0 < self._supervisor.lease.remaining_s() < SHORT_LEASE_S:
            return URGENT_REPORT_INTERVAL_S
        if self._supervisor.pacer.is_active:
            return REPORT_INTERVAL_S
        return RELAXED_REPORT_INTERVAL_S

    async def _send(self, conn):
        supervisor = self._supervisor
        sent_s = boot_clock_s()
        report = VmReport(
            vm=supervisor.vm,
            is_full=supervisor.has_synced,
            clock_ms=clock_ms(),
            state=supervisor.state(),
            running=supervisor.running_reports(),
            ended=supervisor.end_reports(),
            fence=supervisor.fence,
        )
        try:
            ack = await conn.call(report, timeout_s=CALL_TIMEOUT_S)
        except CallRefused as exc:
            _log.info("report_refused", peer=conn.peer, reason=exc)
            await self._links.introduce_again(conn, supervisor)
            return
        except ConnectionLost as exc:
            _log.info("report_unanswered", peer=conn.peer, reason=exc)
            conn.abort()
            return
        supervisor.table.attach_orders(ack.orders)
        supervisor.pacer.update_weights(ack.weights)
        supervisor.pacer.update_precedence(ack.precedence)
        if ack.granted and conn is self._links.leader_conn:
            was_held = supervisor.lease.remaining_s() > 0
            start_s = sent_s - ack.proof_age_ms / 1000
            supervisor.lease.extend(sent_s=start_s)
            if not was_held:
                supervisor.table.notify()
        elif not ack.granted:
            _log.warning("lease_not_granted", vm=supervisor.vm, peer=conn.peer)
