"""The agents that report to an entry."""

import contextlib

import trio

from radishlanding.entry.agent_view import AgentView
from radishlanding.message import Accepted
from radishlanding.message import LoadReport
from radishlanding.observe import EventLog
from radishlanding.peer import CallRefused
from radishlanding.policy import TargetView

_log = EventLog("radishlanding.entry")


class AgentDirectory:
    """Keep the newest report and the connection of each VM's agent.

    Implements :class:`radishlanding.peer.Handler` for the agents' messages.
    """

    __slots__ = ("_cfg_watch", "_changed", "_views")

    def __init__(self, *, cfg_watch):
        """Start without agents.

        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        """
        self._cfg_watch = cfg_watch
        self._changed = trio.Event()
        self._views = {}

    async def handle(self, message, conn):
        """Store a load report.

        A report on a new connection replaces the agent's old connection; a
        report that is older than the stored one is ignored.

        :raises radishlanding.peer.CallRefused: It is another message.
        """
        if not isinstance(message, LoadReport):
            raise CallRefused(f"unexpected {type(message).__name__}")
        view = self._views.get(message.vm)
        if view is None or view.conn is not conn:
            if view is not None:
                view.conn.abort()
            self._views[message.vm] = AgentView(report=message, conn=conn)
            _log.info("agent_up", vm=message.vm, agent=message.incarnation)
        elif message.clock_ms >= view.report.clock_ms:
            view.report = message
        self.notify()
        return Accepted()

    def disconnected(self, conn):
        """Remove the agent whose connection was lost."""
        for vm, view in list(self._views.items()):
            if view.conn is conn:
                del self._views[vm]
                _log.info("agent_down", vm=vm)

    def find(self, vm):
        """Return the :class:`AgentView` of a VM, or None."""
        return self._views.get(vm)

    def targets(self, req, *, excluding=()):
        """Return the targets that are eligible for a request, full ones too.

        :param req: A :class:`radishlanding.request.Request`.
        :param excluding: VMs to leave out.
        :returns: A list of :class:`radishlanding.policy.TargetView`.
        """
        zones = self._cfg_watch.document.zones
        return [
            _target_view(vm, view, load)
            for vm, view in self._views.items()
            if vm not in excluding
            and view.report.zone in req.zones
            and view.report.zone in zones
            and zones[view.report.zone].in_service
            for load in view.report.targets
            if load.service == req.service and not load.leaving
        ]

    @contextlib.contextmanager
    def in_flight(self, view, service):
        """Count a request as in flight to an agent.

        :param view: The :class:`AgentView`.
        :param service: Service of the request.
        """
        view.in_flight[service] = view.in_flight.get(service, 0) + 1
        try:
            yield
        finally:
            view.in_flight[service] -= 1
            self.notify()

    def notify(self):
        """Wake the tasks in :meth:`wait_changed`."""
        self._changed.set()
        self._changed = trio.Event()

    async def wait_changed(self):
        """Wait until a report arrives or a request ends."""
        await self._changed.wait()


def _target_view(vm, view, load):
    in_flight = view.in_flight.get(load.service, 0)
    return TargetView(
        vm=vm,
        slots=load.slots,
        outstanding=max(load.outstanding, in_flight),
        latency_ms=load.latency_ms,
    )
