"""Entry point of the command line."""

import sys

import fire

from radishlanding.cli.command_failed import CommandFailed
from radishlanding.cli.exit_status import ExitStatus
from radishlanding.cli.root_commands import RootCommands
from radishlanding.findings import InvalidInput


def main():
    """Run one command and exit with an :class:`ExitStatus`."""
    try:
        fire.Fire(RootCommands, name="radishlanding")
    except InvalidInput as exc:
        _exit_with(exc.lines(), ExitStatus.BAD_INPUT)
    except CommandFailed as exc:
        _exit_with(exc.lines, exc.status)


def _exit_with(lines, status):
    for line in lines:
        print(line, file=sys.stderr)
    sys.exit(int(status))
