"""The time of day, which callers' due times and objectives refer to."""

import time


def now_ms():
    """Return the Unix time in milliseconds."""
    return int(time.time() * 1000)
