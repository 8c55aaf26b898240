"""Steps for the command line."""

import functools
import pathlib
import shlex

import trio
from behave import given
from behave import then

from tests.standin.plan import Plan
from tests.standin.process import BIN_DIR

ROOT = pathlib.Path(__file__).parent.parent.parent
CLOSED_PORT = "127.0.0.1:1"


@given("a running site for operators")
def _a_site(context):
    context.site = context.bridge.open_site(Plan(vms_per_zone=1))


async def _run(entry, command):
    return await trio.run_process(
        [str(BIN_DIR / "radishlanding"), "--entry", entry]
        + shlex.split(command),
        capture_stdout=True,
        capture_stderr=True,
        check=False,
        cwd=ROOT,
    )


def _check(context, entry, command, status, shows):
    done = context.bridge.call(functools.partial(_run, entry, command))
    text = (done.stdout + done.stderr).decode()
    assert done.returncode == status, (command, done.returncode, text)
    assert shows in text, (command, text)
    assert "Traceback" not in text, (command, text)


@then("the commands end with these statuses and outputs")
def _commands_end_with(context):
    entry = context.site.entry_vms[0].http.address
    for row in context.table:
        _check(
            context, entry, row["command"], int(row["status"]), row["shows"]
        )


@then('without a site "{command}" ends with {status:d} and shows "{shows}"')
def _without_a_site(context, command, status, shows):
    _check(context, CLOSED_PORT, command, status, shows)
