"""Decoding of the documents that operators write into the platform's store.

Specified by the platform's page "What radishlanding speaks", section on the
operator's API.
"""

from radishlanding.config import AdvisorTiming
from radishlanding.config import Queue
from radishlanding.config import Site
from radishlanding.findings import decode_json
from radishlanding.observe import EventLog
from radishlanding.platform.fields import check_number
from radishlanding.platform.fields import MAX_NUMBER
from radishlanding.platform.fields import read_int
from radishlanding.platform.fields import read_list
from radishlanding.platform.fields import read_object
from radishlanding.platform.fields import read_text

SITE_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
DEFAULT_MAX_BODY_BYTES = 262_144
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_HEADER_TIMEOUT_MS = 3000
DEFAULT_IDLE_TIMEOUT_MS = 15_000

_log = EventLog("radishlanding.platform")


def _decode_advisor_timing(raw):
    if not raw:
        return None
    read_object(raw, "advice")
    return AdvisorTiming(
        decide_ms=read_int(raw, "decideMs", default=0),
        each_ms=read_int(raw, "eachMs", default=0),
        valid_ms=read_int(raw, "validMs", default=0),
    )


def _decode_queue(raw):
    read_object(raw, "routes")
    return Queue(
        name=read_text(raw, "name"),
        host=read_text(raw, "host"),
        prefix=read_text(raw, "prefix"),
        # The platform calls a pool of VMs a service.
        pool=read_text(raw, "service"),
        priority=read_int(raw, "priority", default=0),
        max_attempts=read_int(raw, "maxAttempts", default=0),
        stretch=check_number(raw.get("stretch", 1.0), "stretch"),
        latency_ms=read_int(raw, "targetLatencyMs", default=0),
        timeout_ms=read_int(raw, "timeoutMs", default=0),
        advisor_timing=_decode_advisor_timing(raw.get("advice")),
    )


def _by_name(queues):
    """Return queues by name, further URLs of a queue by URL."""
    found = {}
    for queue in queues:
        key = queue.base_url if queue.name in found else queue.name
        found[key] = queue
    return found


def _pools_with(raw, flag):
    """Return the names of the pools that have a flag."""
    return frozenset(
        read_text(service, "name")
        for service in read_list(raw, "services")
        if read_object(service, "services").get(flag)
    )


def _read_limit(limits, name, default):
    """Return a limit to clients; 0, which nobody could keep, is unset."""
    return read_int(limits, name, default=default) or default


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
        raw = read_object(decode_json(item.value), "the document")
        if "routes" not in raw:
            raise ValueError("routes is missing")
        queues = [_decode_queue(route) for route in read_list(raw, "routes")]
        limits = read_object(raw.get("limits") or {}, "limits")
        return Site(
            version=read_int(raw, "version", maximum=MAX_NUMBER),
            queues=_by_name(queues),
            enforcing_pools=_pools_with(raw, "enforcesCapacity"),
            spare_pools=_pools_with(raw, "spare"),
            zones_out=zones_out,
            max_body_bytes=_read_limit(
                limits, "maxBodyBytes", DEFAULT_MAX_BODY_BYTES
            ),
            max_header_bytes=_read_limit(
                limits, "maxHeaderBytes", DEFAULT_MAX_HEADER_BYTES
            ),
            header_timeout_ms=_read_limit(
                limits, "headerTimeoutMs", DEFAULT_HEADER_TIMEOUT_MS
            ),
            idle_timeout_ms=_read_limit(
                limits, "idleTimeoutMs", DEFAULT_IDLE_TIMEOUT_MS
            ),
        )
    except ValueError as exc:
        _log.error("config_unreadable", version=item.version, reason=exc)
        return Site(zones_out=zones_out)
