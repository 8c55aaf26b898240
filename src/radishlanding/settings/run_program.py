"""Runs a program from its command line."""

import os
import sys

import trio

from radishlanding.findings import InvalidInput
from radishlanding.observe import set_up_logging
from radishlanding.settings.load import load_settings

EXIT_BAD_SETTINGS = 2
EXIT_USAGE = 64
# Path of the settings file if the command line has none.
SETTINGS_VARIABLE = "RADISHLANDING_BOOT"


def run_program(name, make_program):
    """Load the settings and run the program.

    The path of the settings file is the argument of the command line, or
    the value of the environment variable ``SETTINGS_VARIABLE``.

    :param name: Name of the program, a key of ``SETTINGS_BY_PROGRAM``.
    :param make_program: Callable that takes ``cfg`` and returns an object
        with a coroutine ``run``.
    :returns: Exit status: 0 after a normal shutdown, 2 for invalid settings,
        64 for a wrong command line.
    """
    paths = sys.argv[1:] or [os.environ.get(SETTINGS_VARIABLE, "")]
    if len(paths) != 1 or paths[0] in ("", "-h", "--help"):
        print(f"usage: radishlanding-{name} SETTINGS.toml", file=sys.stderr)
        return EXIT_USAGE
    try:
        cfg = load_settings(name, paths[0])
    except InvalidInput as exc:
        for line in exc.lines():
            print(line, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    process_id = cfg.vm if name == "agent" else cfg.id
    set_up_logging(level=cfg.log_level, program=name, process_id=process_id)
    trio.run(make_program(cfg=cfg).run)
    return 0
