"""Captures the lines of a logger."""

import contextlib
import logging


class LogLines(logging.Handler):
    """Collect logged lines."""

    def __init__(self):
        """Start without lines."""
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Collect a line."""
        self.lines.append(record.getMessage())


@contextlib.contextmanager
def captured_lines(name):
    """Capture the lines of a logger.

    :param name: Name of the logger.
    """
    handler = LogLines()
    logger = logging.getLogger(name)
    level, propagates = logger.level, logger.propagate
    logger.setLevel(logging.DEBUG)
    logger.propagate = False
    logger.addHandler(handler)
    try:
        yield handler.lines
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        logger.propagate = propagates
