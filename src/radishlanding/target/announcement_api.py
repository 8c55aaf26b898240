"""Takes in the announcements of targets over HTTP."""

from radishlanding.findings import InvalidInput
from radishlanding.findings import structure
from radishlanding.http import HttpResponse
from radishlanding.http import Problem
from radishlanding.target.announcement import Announcement
from radishlanding.vm import InsufficientCapacity


class AnnouncementApi:
    """Answer ``POST /v1/targets`` and ``GET /healthz``."""

    __slots__ = ("_pool",)

    def __init__(self, *, pool):
        """Pass announcements on.

        :param pool: A :class:`TargetPool`, or None as long as the VM's room
            is not known.
        """
        self._pool = pool

    async def respond(self, req):
        """Return the response to a request."""
        if req.method == "GET" and req.path == ["healthz"]:
            return HttpResponse.of_json({"ok": True})
        if req.method != "POST" or req.path != ["v1", "targets"]:
            raise Problem(status=404, reason=f"no {req.method} {req.target}")
        try:
            said = structure(Announcement, req.json(), source="announcement")
        except InvalidInput as exc:
            raise Problem(status=400, reason="; ".join(exc.lines()))
        if said.slots < 1 or said.connections < 1:
            raise Problem(
                status=400, reason="slots and connections must be positive"
            )
        try:
            self._pool.register(said)
        except InsufficientCapacity as exc:
            raise Problem(status=409, reason=f"no room for reserve: {exc}")
        return HttpResponse.of_json({"ok": True})
