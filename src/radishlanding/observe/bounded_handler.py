"""Logging handler that is rate-limited and never blocks."""

import logging
import os
import time

# Rate of a busy process, and the size of a burst after a fault.
LINES_PER_S = 400
BURST_LINES = 2000
# Backlog for a slow reader, in addition to the buffer of the pipe itself.
MAX_PENDING_BYTES = 256 * 1024


class BoundedHandler(logging.Handler):
    """Write lines to a file descriptor without blocking.

    Lines beyond the rate or the backlog are dropped. The next line that is
    written is preceded by one with the number of dropped lines.
    """

    def __init__(self, *, descriptor, clock=time.monotonic):
        """Initialise the handler.

        :param descriptor: File descriptor; it is set to non-blocking.
        :param clock: Callable that returns monotonic time in seconds.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._clock = clock
        self._descriptor = descriptor
        self._dropped = 0
        self._refilled_s = clock()
        self._pending = b""
        self._tokens = float(BURST_LINES)

    def emit(self, record):
        """Write a record as one line, or drop and count it."""
        if not self._take_token():
            self._dropped += 1
            return
        line = self.format(record).encode("utf-8", "replace") + b"\n"
        if self._dropped:
            summary = logging.LogRecord(
                record.name,
                logging.WARNING,
                "",
                0,
                "event=lines_dropped count=%d",
                (self._dropped,),
                None,
            )
            line = self.format(summary).encode() + b"\n" + line
        if len(self._pending) + len(line) > MAX_PENDING_BYTES:
            self._dropped += 1
            self._write()
            return
        self._dropped = 0
        self._pending += line
        self._write()

    def _take_token(self):
        now_s = self._clock()
        added = (now_s - self._refilled_s) * LINES_PER_S
        self._refilled_s = now_s
        self._tokens = min(BURST_LINES, self._tokens + added)
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
            # The reader is gone; that must not end the process.
            self._dropped += 1
            self._pending = b""
            return
        self._pending = self._pending[written:]
