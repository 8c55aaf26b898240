"""Decides whether start orders may still be sent."""

from radishlanding.dispatch.fleet_loads import start_bar


class OrderCheck:
    """Check orders that have waited for the link or the connection.

    Meanwhile the VM may have started again or begun to drain, its zone been
    taken out, and the workflow cancelled.
    """

    __slots__ = ("_fleet", "_site_watch")

    def __init__(self, *, fleet, site_watch):
        """Prepare the check.

        :param fleet: The :class:`Fleet`.
        :param site_watch: A :class:`SiteWatch`.
        """
        self._fleet = fleet
        self._site_watch = site_watch

    def bar(self, session, boot):
        """Return why a VM may get no orders, or an empty string.

        :param session: :class:`VmSession` of the VM.
        :param boot: Boot of the worker that the attempts were assigned to.
        """
        if self._fleet.sessions.get(session.vm) is not session:
            return "another_session"
        if session.state.boot != boot:
            return "another_boot"
        return start_bar(session, self._site_watch.site) or ""

    def wanted(self, session, boot, orders):
        """Return the orders that may be sent.

        :param session: :class:`VmSession` of the VM.
        :param boot: See :meth:`bar`.
        :param orders: :class:`radishlanding.message.TaskOrder` objects.
        """
        if self.bar(session, boot):
            return []
        return [
            order for order in orders if self._fleet.is_wanted(session, order)
        ]
