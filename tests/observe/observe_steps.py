"""Steps about logs and metrics."""

import logging
import subprocess
import sys

from behave import then
from behave import when

from radishlanding.observe import EventLog

CHECK = (
    "import sys, radishlanding.agent, radishlanding.entry, "
    "radishlanding.scheduler; "
    "sys.exit('opentelemetry.sdk' in sys.modules)"
)


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        self.lines.append(record.getMessage())


def _log(context, write):
    lines = _Lines()
    logger = logging.getLogger("tests.observe")
    logger.setLevel(logging.DEBUG)
    logger.propagate = False
    logger.addHandler(lines)
    write(EventLog("tests.observe"))
    logger.removeHandler(lines)
    context.lines = lines.lines


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
