"""Metrics page in the Prometheus text format."""

import functools

from radishlanding.http.limits import Limits
from radishlanding.http.process_budget import MAX_METRICS_CONNECTIONS
from radishlanding.http.response import HttpResponse
from radishlanding.http.server import HttpServer
from radishlanding.http.status_pages import StatusPages


class MetricsPage:
    """Respond with one line for each counter and histogram bucket."""

    __slots__ = ("_counters", "_program")

    def __init__(self, *, counters, program):
        """Create the page.

        :param counters: The process's :class:`radishlanding.observe.Counters`.
        :param program: Name of the program, a label of each line.
        """
        self._counters = counters
        self._program = program

    async def respond(self, _req):
        """Return the page."""
        lines = [
            f'radishlanding_{name}{{program="{self._program}"}} {count}'
            for name, count in sorted(self._counters.snapshot().items())
        ]
        for name, histogram in sorted(self._counters.histograms.items()):
            lines += self._histogram_lines(name, histogram)
        return HttpResponse(
            status=200,
            headers={"content-type": "text/plain; version=0.0.4"},
            body=("\n".join(lines) + "\n").encode(),
        )

    def _histogram_lines(self, name, histogram):
        label = f'program="{self._program}"'
        full_name = f"radishlanding_{name}_ms"
        lines = [
            f'{full_name}_bucket{{{label},le="{bound}"}} {count}'
            for bound, count in histogram.cumulative_counts()
        ]
        lines.append(f"{full_name}_sum{{{label}}} {histogram.sum_ms:.3f}")
        lines.append(f"{full_name}_count{{{label}}} {histogram.count}")
        return lines


# A request for the page has no body.
LIMITS = Limits(connections=MAX_METRICS_CONNECTIONS, body_bytes=4096)


async def serve_metrics(
    nursery, *, counters, address, program, budget=None, pages=None
):
    """Serve the metrics page if an address is set.

    :param nursery: Nursery that the server runs in.
    :param counters: The process's :class:`radishlanding.observe.Counters`.
    :param address: ``ip:port`` to listen on, or an empty string.
    :param program: Name of the program.
    :param budget: The process's :class:`radishlanding.http.ProcessBudget`, or
        None.
    :param pages: See :class:`StatusPages`.
    """
    if not address:
        return
    server = HttpServer(
        handler=StatusPages(
            metrics=MetricsPage(counters=counters, program=program),
            pages=pages or {},
        ),
        limits=LIMITS,
        budget=budget,
        counters=counters,
    )
    host, _, port = address.rpartition(":")
    await nursery.start(
        functools.partial(server.run, host=host, port=int(port))
    )
