"""HTTP API for the announcements of targets."""

from radishlanding.findings import InvalidInput
from radishlanding.findings import structure
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.target.announcement import Announcement
from radishlanding.vm import InsufficientCapacity


class AnnouncementApi:
    """Answer ``POST /v1/targets`` and ``GET /healthz``."""

    __slots__ = ("_pool",)

    def __init__(self, *, pool):
        """Prepare the API.

        :param pool: The :class:`TargetPool` of the VM.
        """
        self._pool = pool

    async def respond(self, req):
        """Return the response to a request.

        :param req: A :class:`radishlanding.http.HttpRequest`.
        :raises HttpError: The response is an error.
        """
        if req.method == "GET" and req.path == ["healthz"]:
            return HttpResponse.of_json({"ok": True})
        if req.method != "POST" or req.path != ["v1", "targets"]:
            raise HttpError(status=404, reason=f"no {req.method} {req.target}")
        try:
            announcement = structure(
                Announcement, req.json(), source="announcement"
            )
        except InvalidInput as exc:
            raise HttpError(status=400, reason="; ".join(exc.lines()))
        if announcement.slots < 1 or announcement.connections < 1:
            raise HttpError(
                status=400, reason="slots and connections must be positive"
            )
        try:
            self._pool.register(announcement)
        except InsufficientCapacity as exc:
            raise HttpError(
                status=409, reason=f"reserve exceeds the free capacity: {exc}"
            )
        return HttpResponse.of_json({"ok": True})
