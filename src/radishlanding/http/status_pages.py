"""Pages about the state of a process, beside its metrics."""

from radishlanding.http.response import HttpResponse


class StatusPages:
    """Respond with JSON on some paths, and with the metrics on all others."""

    __slots__ = ("_metrics", "_pages")

    def __init__(self, *, metrics, pages):
        """Create the pages.

        :param metrics: The :class:`MetricsPage`.
        :param pages: By path, a callable that returns a JSON object, or None
            while the process has none: then the status is 404.
        """
        self._metrics = metrics
        self._pages = pages

    async def respond(self, req):
        """Return the page that a request names.

        :param req: A :class:`HttpRequest`.
        """
        page = self._pages.get(req.target.partition("?")[0])
        if page is None:
            return await self._metrics.respond(req)
        value = page()
        if value is None:
            return HttpResponse.of_json({}, status=404)
        return HttpResponse.of_json(value)
