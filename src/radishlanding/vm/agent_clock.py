"""The clock of an agent, whose timestamps peers echo in their messages."""

from radishlanding.vm.lease import boot_clock_s


def clock_ms():
    """Return the milliseconds since boot, including time suspended."""
    return int(boot_clock_s() * 1000)
