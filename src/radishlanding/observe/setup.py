"""Setup of the standard logging of a process."""

import logging
import sys

from radishlanding.observe.bounded_handler import BoundedHandler


def set_up_logging(*, level, program, process_id):
    """Write log lines with time, level and process to standard output.

    :param level: Case-insensitive name of the lowest level to write.
    :param program: Name of the program.
    :param process_id: Identity of this process in the site.
    """
    # The format below names neither the caller nor threads and processes, and
    # looking them up takes longer than the rest of a line.
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
    prefix = f"program={program} id={process_id}"
    handler = BoundedHandler(descriptor=sys.stdout.fileno())
    logging.basicConfig(
        handlers=[handler],
        level=level.upper(),
        format=f"time=%(created).3f level=%(levelname)s {prefix} %(message)s",
        force=True,
    )
