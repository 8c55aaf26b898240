"""The agent's own clock, which its peers echo."""

from radishlanding.vm.lease import boot_clock_s


def clock_ms():
    """Return milliseconds since boot, counting time asleep."""
    return int(boot_clock_s() * 1000)
