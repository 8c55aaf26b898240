"""Capacity, allocations and leases of a VM."""

from radishlanding.vm.agent_clock import clock_ms
from radishlanding.vm.capacity import Capacity
from radishlanding.vm.insufficient_capacity import InsufficientCapacity
from radishlanding.vm.lease import boot_clock_s
from radishlanding.vm.lease import VmLease
from radishlanding.vm.lease_timing import LeaseTiming
from radishlanding.vm.ledger import Ledger

__all__ = [
    "Capacity",
    "InsufficientCapacity",
    "LeaseTiming",
    "Ledger",
    "VmLease",
    "boot_clock_s",
    "clock_ms",
]
