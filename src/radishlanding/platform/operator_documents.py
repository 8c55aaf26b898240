"""Decoding of the documents that operators write into the platform's store.

Specified by the platform's page "What radishlanding speaks", section on the
operator's API.
"""

import json

from radishlanding.config import AdvisorTiming
from radishlanding.config import Queue
from radishlanding.config import Site
from radishlanding.observe import EventLog

SITE_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"

_log = EventLog("radishlanding.platform")


def _decode_advisor_timing(raw):
    if not raw:
        return None
    return AdvisorTiming(
        decide_ms=int(raw.get("decideMs", 0)),
        each_ms=int(raw.get("eachMs", 0)),
        valid_ms=int(raw.get("validMs", 0)),
    )


def _decode_queue(raw):
    return Queue(
        name=raw["name"],
        host=raw["host"],
        prefix=raw["prefix"],
        # The platform calls a pool of VMs a service.
        pool=raw["service"],
        priority=int(raw.get("priority", 0)),
        max_attempts=int(raw.get("maxAttempts", 0)),
        stretch=float(raw.get("stretch", 1.0)),
        latency_ms=int(raw.get("targetLatencyMs", 0)),
        timeout_ms=int(raw.get("timeoutMs", 0)),
        advisor_timing=_decode_advisor_timing(raw.get("advice")),
    )


def _pools_with(raw, flag):
    """Return the names of the pools that have a flag."""
    return frozenset(
        service["name"]
        for service in raw.get("services", [])
        if service.get(flag)
    )


def read_site(items):
    """Return the site that the operators' keys describe.

    :param items: :class:`radishlanding.store.KeyValue` objects by key.
    :returns: A :class:`radishlanding.config.Site`, with version 0 and
        without queues if the configuration is absent or malformed.
    """
    zones_out = frozenset(
        key.removeprefix(EVACUATION_PREFIX)
        for key in items
        if key.startswith(EVACUATION_PREFIX)
    )
    item = items.get(CONFIG_KEY)
    if item is None:
        return Site(zones_out=zones_out)
    try:
        raw = json.loads(item.value)
        queues = [_decode_queue(route) for route in raw["routes"]]
        return Site(
            version=int(raw["version"]),
            queues={queue.name: queue for queue in queues},
            enforcing_pools=_pools_with(raw, "enforcesCapacity"),
            spare_pools=_pools_with(raw, "spare"),
            zones_out=zones_out,
            max_body_bytes=int(
                raw.get("limits", {}).get("maxBodyBytes", 262_144)
            ),
        )
    except (ValueError, KeyError, TypeError) as exc:
        _log.error("config_unreadable", version=item.version, reason=exc)
        return Site(zones_out=zones_out)
