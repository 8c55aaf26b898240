"""HTTP API for the platform's readiness checks."""

from radishlanding.http import HttpResponse


class ReadyApi:
    """Report whether this process accepts new connections of clients."""

    __slots__ = ("_is_ready",)

    def __init__(self, *, is_ready):
        """Create the API.

        :param is_ready: Callable that returns whether the process is ready.
        """
        self._is_ready = is_ready

    async def respond(self, req):
        """Return 200 if the process is ready, else 503."""
        if req.path != ["-", "ready"]:
            return HttpResponse(status=404)
        return HttpResponse(status=200 if self._is_ready() else 503)
