"""Logging of events as lines of key=value pairs."""

import json
import logging
import re
import traceback

# Longer values, such as reasons that quote input, are cut.
MAX_VALUE_CHARS = 4000
_UNQUOTED = re.compile(r'[^ "=]+')


def _format_value(value):
    text = str(value)
    if len(text) > MAX_VALUE_CHARS:
        text = text[:MAX_VALUE_CHARS] + "..."
    if _UNQUOTED.fullmatch(text) and text.isprintable():
        return text
    return json.dumps(text)


class EventLog:
    """Write each event as one line of key=value pairs.

    Values that contain blanks, quotes, equal signs or characters that cannot
    be printed are written as JSON strings. Long values are cut.
    """

    __slots__ = ("_logger",)

    def __init__(self, name):
        """Use the standard logger of a name."""
        self._logger = logging.getLogger(name)

    def _write(self, level, event, fields):
        if self._logger.isEnabledFor(level):
            pairs = [f"event={event}"]
            pairs += [
                f"{key}={_format_value(val)}" for key, val in fields.items()
            ]
            self._logger.log(level, "%s", " ".join(pairs))

    def exception(self, event, **fields):
        """Log an event with the exception being handled and its traceback."""
        trace = traceback.format_exc()[-MAX_VALUE_CHARS:]
        self._write(logging.ERROR, event, {**fields, "trace": trace})

    def debug(self, event, **fields):
        """Log an event that only developers need."""
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
