"""Sizes and times of a test site."""

import dataclasses

from radishlanding.vm import Capacity


@dataclasses.dataclass(slots=True, kw_only=True)
class Plan:
    """Describe a site.

    :param organisation: Organisation of all jobs and requests.
    :param service: Service of all targets.
    :param zones: Availability zones.
    :param vms_per_zone: Target VMs in each zone.
    :param entry_zones: Zone of each entry VM.
    :param shards: Number of shards.
    :param capacity: Capacity of each VM.
    :param vm_lease_s: VM lease, in seconds.
    :param worker_lease_s: Lease of a task at its worker, in seconds.
    :param owner_grace_s: Grace period of an unconfirmed owner, in seconds.
    """

    organisation: str = "abay-reef"
    service: str = "order-desk"
    zones: tuple[str, ...] = ("bole", "piassa")
    vms_per_zone: int = 2
    entry_zones: tuple[str, ...] = ("bole", "piassa")
    shards: int = 1
    capacity: Capacity = Capacity(
        millicores=8000, memory_mb=16_000, accelerators=1
    )
    vm_lease_s: float = 6.0
    worker_lease_s: float = 4.0
    owner_grace_s: float = 8.0

    def vms(self):
        """Return name, zone and rack of each target VM."""
        return [
            (f"{zone}-vm{index}", zone, f"{zone}-rack{index // 3}")
            for zone in self.zones
            for index in range(self.vms_per_zone)
        ]

    def scheduler_settings(self):
        """Return the lease settings of schedulers."""
        return {
            "vm_lease_s": self.vm_lease_s,
            "owner_grace_s": self.owner_grace_s,
        }

    def agent_settings(self):
        """Return the lease settings of agents."""
        return {
            "vm_lease_s": self.vm_lease_s,
            "worker_lease_s": self.worker_lease_s,
        }

    def document(self):
        """Return the configuration document."""
        zones = list(self.zones)
        request = {
            "organisation": self.organisation,
            "kind": "request",
            "service": self.service,
            "zones": zones,
        }
        batch = {
            "organisation": self.organisation,
            "kind": "batch",
            "zones": zones,
            "processors": 1.0,
            "memory_mb": 1000,
        }
        return {
            "shards": self.shards,
            "zones": {zone: {"in_service": True} for zone in zones},
            "organisations": {
                self.organisation: {
                    "processors": 1000.0,
                    "memory_mb": 1_000_000,
                    "accelerators": 100,
                }
            },
            "templates": {
                "stock-check": {
                    **request,
                    "idempotent": True,
                    "urgency": "urgent",
                    "deadline_ms": 4000,
                    "objective": 0.999,
                },
                "plan-booking": {
                    **request,
                    "idempotent": False,
                    "deadline_ms": 8000,
                },
                "tank-watch": {
                    **batch,
                    "idempotent": True,
                    "checkpoint_every_s": 0.5,
                },
                "shipment-plan": {**batch, "idempotent": False},
                "settlement-run": {
                    **batch,
                    "idempotent": True,
                    "urgency": "urgent",
                },
                "huge": {
                    **batch,
                    "idempotent": True,
                    "processors": 512.0,
                },
            },
        }
