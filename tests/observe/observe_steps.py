"""Steps about logs and metrics."""

import logging
import os
import subprocess
import sys
import time

from behave import given
from behave import then
from behave import when

from radishlanding.http.metrics_page import MetricsPage
from radishlanding.observe import BoundedHandler
from radishlanding.observe import Counters
from radishlanding.observe import EventLog
from tests.standin.log_lines import captured_lines

CHECK = (
    "import sys, radishlanding.agent, radishlanding.entry, "
    "radishlanding.scheduler; "
    "sys.exit('opentelemetry.sdk' in sys.modules)"
)


def _log(context, write):
    with captured_lines("tests.observe") as context.lines:
        write(EventLog("tests.observe"))


@when("an event is logged with reason {reason}")
def _event_is_logged(context, reason):
    value = reason.replace("\\n", "\n")
    _log(context, lambda log: log.info("something", reason=value))


@then("the line is event=something reason={shown}")
def _line_is(context, shown):
    assert context.lines == [f"event=something reason={shown}"], context.lines


@when("an exception is logged")
def _exception_is_logged(context):
    def write(log):
        try:
            raise ValueError("bad\nvalue")
        except ValueError:
            log.exception("broken")

    _log(context, write)


@then("one line was logged, with its trace")
def _one_line(context):
    (line,) = context.lines
    assert "\n" not in line and "ValueError" in line, line


@then("a process without an endpoint has not imported the SDK")
def _no_sdk(_context):
    assert subprocess.run([sys.executable, "-c", CHECK]).returncode == 0


class _Pipe:
    """A log that ends in a pipe; a line may be read in two parts."""

    __slots__ = ("_logger", "_rest", "clock_s", "lines", "reader")

    def __init__(self):
        self._rest = ""
        self.lines = []
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.clock_s = 0.0
        handler = BoundedHandler(descriptor=writer, clock=lambda: self.clock_s)
        self._logger = logging.Logger("tests.pipe")
        self._logger.addHandler(handler)

    def log(self, count, *, pause_s):
        """Log lines, some time after each other."""
        for number in range(count):
            self.clock_s += pause_s
            self._logger.warning("event=line number=%d", number)

    def read(self):
        """Return the lines that can be read."""
        data = b""
        try:
            while part := os.read(self.reader, 65536):
                data += part
        except BlockingIOError:
            pass
        text = self._rest + data.decode()
        *lines, self._rest = text.split("\n")
        self.lines += lines
        return lines

    def dropped(self):
        """Return how many lines the log says were dropped."""
        return sum(
            int(line.rpartition("=")[2])
            for line in self.lines
            if "lines_dropped count=" in line
        )


@given("a log whose reader has stopped reading")
@given("a log whose reader reads all")
def _a_pipe(context):
    context.pipe = _Pipe()


@when("{count:d} lines are logged")
def _lines_are_logged(context, count):
    began_s = time.monotonic()
    context.pipe.log(count, pause_s=0.01)
    context.took_s = time.monotonic() - began_s


@then("that took less than {bound_s:d} s")
def _took(context, bound_s):
    assert context.took_s < bound_s, context.took_s


@then("once the reader reads again a line tells how many were dropped")
def _tells(context):
    for _ in range(10):
        context.pipe.read()
        context.pipe.log(1, pause_s=1.0)
    lines = context.pipe.read()
    assert lines, "nothing is written any more"
    assert context.pipe.dropped(), "no line tells of it"


@when("{count:d} lines are logged within 1 s")
def _burst(context, count):
    context.written = []
    for _ in range(count // 100):
        context.pipe.log(100, pause_s=1 / count)
        context.written += context.pipe.read()
    context.count = count


@then("no more than {bound:d} of them are written, and the rest is counted")
def _bounded(context, bound):
    written = [line for line in context.written if "number=" in line]
    assert len(written) <= bound, len(written)
    context.pipe.log(1, pause_s=1.0)
    context.pipe.read()
    dropped = context.pipe.dropped()
    assert dropped == context.count - len(written), (dropped, len(written))


@given("a process that counted 3 entries and calls of 3, 4 and 800 ms")
def _counted(context):
    counters = Counters()
    counters.add("entries", 3)
    for duration_ms in (3, 4, 800):
        counters.record_duration(
            "calls", since_s=0.0, now_s=duration_ms / 1000
        )
    page = MetricsPage(counters=counters, program="dispatcher")
    body = context.bridge.call(page.respond, None).body.decode()
    context.metrics = dict(line.rsplit(" ", 1) for line in body.splitlines())


def _metric(context, name, labels=""):
    full_name = f'radishlanding_{name}{{program="dispatcher"{labels}}}'
    return float(context.metrics[full_name])


@then("its page tells of {count:d} entries")
def _entries(context, count):
    assert _metric(context, "entries") == count


@then(
    "{few:d} calls up to 5 ms, {more:d} up to 1000 ms, {total:d} in all and "
    "a sum of {sum_ms:d} ms"
)
def _histogram(context, few, more, total, sum_ms):
    assert _metric(context, "calls_ms_bucket", ',le="5"') == few
    assert _metric(context, "calls_ms_bucket", ',le="1000"') == more
    assert _metric(context, "calls_ms_bucket", ',le="+Inf"') == total
    assert _metric(context, "calls_ms_sum") == sum_ms
