"""Logs events as one line of key=value pairs."""

import json
import logging
import traceback


def _text(value):
    text = str(value)
    if text and not any(char in text for char in ' "=\n\r'):
        return text
    return json.dumps(text)


class EventLog:
    """Write one line of key=value pairs for each event."""

    __slots__ = ("_logger",)

    def __init__(self, name):
        """Use the standard logger of that name."""
        self._logger = logging.getLogger(name)

    def _write(self, level, event, fields):
        if self._logger.isEnabledFor(level):
            pairs = [f"event={event}"]
            pairs += [f"{key}={_text(val)}" for key, val in fields.items()]
            self._logger.log(level, "%s", " ".join(pairs))

    def exception(self, event, **fields):
        """Log the exception being handled, in one line with its trace."""
        trace = traceback.format_exc()
        self._write(logging.ERROR, event, {**fields, "trace": trace})

    def debug(self, event, **fields):
        """Log an event that only a developer needs."""
        self._write(logging.DEBUG, event, fields)

    def info(self, event, **fields):
        """Log an event of normal operation."""
        self._write(logging.INFO, event, fields)

    def warning(self, event, **fields):
        """Log an event that an operator should know of."""
        self._write(logging.WARNING, event, fields)

    def error(self, event, **fields):
        """Log an event that an operator should act on."""
        self._write(logging.ERROR, event, fields)
