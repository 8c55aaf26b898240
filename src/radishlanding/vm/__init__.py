"""Capacity, allocations and leases of a VM."""

from radishlanding.lazy import lazy_exports

__all__ = [
    "Capacity",
    "InsufficientCapacity",
    "LeaseTiming",
    "Ledger",
    "VmLease",
    "boot_clock_s",
    "clock_ms",
]

__getattr__ = lazy_exports(
    __name__,
    {
        "Capacity": "capacity",
        "InsufficientCapacity": "insufficient_capacity",
        "LeaseTiming": "lease_timing",
        "Ledger": "ledger",
        "VmLease": "lease",
        "boot_clock_s": "lease",
        "clock_ms": "agent_clock",
    },
)
