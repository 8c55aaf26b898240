"""Writes log lines without ever waiting for who reads them."""

import logging
import os
import time

# Lines of a busy process in a second, and those of a burst after a fault.
LINES_PER_S = 400
BURST_LINES = 2000
# What a slow reader may be behind; a pipe holds as much again.
MAX_PENDING_BYTES = 256 * 1024


class BoundedHandler(logging.Handler):
    """Write lines to a descriptor, drop what is too much, and count it."""

    def __init__(self, *, descriptor, clock=time.monotonic):
        """Prepare a handler.

        :param descriptor: File descriptor; it is set not to block.
        :param clock: Callable that returns seconds.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._clock = clock
        self._descriptor = descriptor
        self._dropped = 0
        self._filled_s = clock()
        self._pending = b""
        self._tokens = float(BURST_LINES)

    def emit(self, record):
        """Write a line, or drop and count it."""
        if not self._take_token():
            self._dropped += 1
            return
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if self._dropped:
            note = logging.LogRecord(
                record.name,
                logging.WARNING,
                "",
                0,
                "event=lines_dropped count=%d",
                (self._dropped,),
                None,
            )
            line = self.format(note).encode() + b"\n" + line
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            self._write()
            return
        self._dropped = 0
        self._pending += line
        self._write()

    def _take_token(self):
        now_s = self._clock()
        gained = (now_s - self._filled_s) * LINES_PER_S
        self._filled_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + gained)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _write(self):
        try:
            written = os.write(self._descriptor, self._pending)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads any more; logs must not end the process.
            self._dropped += 1
            self._pending = b""
            return
        self._pending = self._pending[written:]
