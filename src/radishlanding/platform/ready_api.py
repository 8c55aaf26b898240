"""Answers the platform's readiness checks."""

from radishlanding.http import HttpResponse


class ReadyApi:
    """Say whether this process takes new connections of callers."""

    __slots__ = ("_is_ready",)

    def __init__(self, *, is_ready):
        """Prepare.

        :param is_ready: Callable that returns whether it does.
        """
        self._is_ready = is_ready

    async def respond(self, req):
        """Return the response to a readiness check."""
        if req.path != ["-", "ready"]:
            return HttpResponse(status=404)
        return HttpResponse(status=200 if self._is_ready() else 503)
