"""HTTP API with which the platform's runners register.

Specified by the platform's page "What radishlanding speaks", section on
service discovery.
"""

import re

from radishlanding.findings import find_address_problem
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.observe import EventLog
from radishlanding.platform.fields import check_text
from radishlanding.platform.fields import MAX_NAME_BYTES
from radishlanding.platform.fields import MAX_NUMBER
from radishlanding.platform.fields import read_int
from radishlanding.platform.fields import read_list
from radishlanding.platform.fields import read_object
from radishlanding.platform.fields import read_text
from radishlanding.vm import Capacity
from radishlanding.worker import WorkerReport

INSTANCES = ["-", "instances"]
MAX_LABELS = 64
WORKER_ID_PATTERN = re.compile(r"[!-~]{1,200}")
# Identities whose malformed pings have been logged.
MAX_LOGGED_WORKERS = 100

_log = EventLog("radishlanding.platform")


class RegistrationApi:
    """Receive the pings and deregistrations of runners.

    A ping registers a runner or updates its registration.
    """

    __slots__ = ("_counters", "_handler", "_logged_reasons")

    def __init__(self, *, handler, counters):
        """Create the API.

        :param handler: Object with the methods ``worker_reported(report)``,
            which takes a :class:`radishlanding.worker.WorkerReport`, and
            ``worker_left(worker_id)``.
        :param counters: The process's :class:`radishlanding.observe.Counters`.
        """
        self._counters = counters
        self._handler = handler
        self._logged_reasons = {}

    async def respond(self, req):
        """Return the response to a runner's request.

        :param req: A :class:`radishlanding.http.HttpRequest`.
        :returns: A :class:`radishlanding.http.HttpResponse`.
        :raises HttpError: The path, method or ping is not valid.
        """
        path = req.path
        if path[:2] != INSTANCES or len(path) != 3:
            raise HttpError(status=404, reason="no such path")
        if req.method == "PUT":
            self._handler.worker_reported(self._decode(path[2], req))
        elif req.method == "DELETE":
            self._handler.worker_left(path[2])
        else:
            raise HttpError(status=405, reason="PUT or DELETE")
        return HttpResponse.of_json({})

    def _decode(self, worker_id, req):
        try:
            return _decode_report(worker_id, req.json())
        except (HttpError, ValueError) as exc:
            reason = exc.reason if isinstance(exc, HttpError) else str(exc)
            self._record_malformed(worker_id, reason)
            raise HttpError(status=400, reason=f"malformed: {reason}")

    def _record_malformed(self, worker_id, reason):
        """Count a malformed ping; log it once for a runner and a reason."""
        self._counters.add("pings_malformed")
        if self._logged_reasons.get(worker_id) == reason:
            return
        if len(self._logged_reasons) >= MAX_LOGGED_WORKERS:
            self._logged_reasons.clear()
        self._logged_reasons[worker_id] = reason
        _log.warning("ping_malformed", worker=worker_id, reason=reason)


def _decode_labels(raw):
    return [
        check_text(label, "labels", max_bytes=MAX_NAME_BYTES)
        for label in read_list(raw, "labels", max_rows=MAX_LABELS)
    ]


def _decode_address(raw):
    """Return the address of a runner, to which a client can connect."""
    address = read_text(raw, "address", max_bytes=MAX_NAME_BYTES)
    problem = find_address_problem(address)
    if problem:
        raise ValueError(problem)
    return address


def _decode_report(worker_id, raw):
    """Decode a ping."""
    # The identity is sent back in a header of each call.
    if not WORKER_ID_PATTERN.fullmatch(worker_id):
        raise ValueError("the identity is not printable ASCII")
    state = read_text(raw, "state")
    if state not in ("ready", "draining"):
        raise ValueError("state is not known")
    # Despite its name, what all tasks may use, the running ones included.
    usable = read_object(raw.get("freeCapacity"), "freeCapacity")
    return WorkerReport(
        worker_id=worker_id,
        # Unix time of the runner's start, in milliseconds.
        born_ms=read_int(raw, "born", default=0, maximum=MAX_NUMBER),
        number=read_int(raw, "sequence", maximum=MAX_NUMBER),
        # The platform calls a pool of VMs a service.
        pool=read_text(raw, "service", max_bytes=MAX_NAME_BYTES),
        address=_decode_address(raw),
        zone=read_text(raw, "zone", max_bytes=MAX_NAME_BYTES),
        labels=_decode_labels(raw),
        capacity=Capacity(
            millicores=read_int(usable, "cpu"),
            memory_mb=read_int(usable, "memMb"),
            accelerators=read_int(usable, "gpu", default=0),
        ),
        is_draining=state == "draining",
        remaining_ms=read_int(raw, "remainingMs", default=0),
    )
