"""Serves the counts of a process as text."""

import functools

from radishlanding.http.response import HttpResponse
from radishlanding.http.server import HttpServer


class MetricsPage:
    """Answer with one line for each count and histogram bucket."""

    __slots__ = ("_counters", "_program")

    def __init__(self, *, counters, program):
        """Prepare.

        :param counters: Counts of the process.
        :param program: Name of the program.
        """
        self._counters = counters
        self._program = program

    async def respond(self, _req):
        """Return the page."""
        lines = [
            f'radishlanding_{name}{{program="{self._program}"}} {count}'
            for name, count in sorted(self._counters.snapshot().items())
        ]
        return HttpResponse(
            status=200,
            headers={"content-type": "text/plain; version=0.0.4"},
            body=("\n".join(lines) + "\n").encode(),
        )


async def serve_metrics(nursery, *, counters, address, program):
    """Serve the metrics page, when an address is set."""
    if not address:
        return
    server = HttpServer(
        handler=MetricsPage(counters=counters, program=program)
    )
    host, _, port = address.rpartition(":")
    await nursery.start(
        functools.partial(server.run, host=host, port=int(port))
    )
