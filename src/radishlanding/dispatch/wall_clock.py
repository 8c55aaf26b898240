"""The wall clock, to which due times and objectives of callers refer."""

import time


def now_ms():
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)
