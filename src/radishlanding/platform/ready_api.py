"""HTTP API for the platform's readiness checks."""

from radishlanding.http import HttpResponse
from radishlanding.http import Limits
from radishlanding.http.process_budget import MAX_READY_CONNECTIONS

# A readiness check has no body.
READY_LIMITS = Limits(connections=MAX_READY_CONNECTIONS, body_bytes=4096)


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
