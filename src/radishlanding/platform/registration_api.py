"""HTTP API with which the platform's runners register.

Specified by the platform's page "What radishlanding speaks", section on
service discovery.
"""

from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.observe import EventLog
from radishlanding.vm import Capacity
from radishlanding.worker import WorkerReport

INSTANCES = ["-", "instances"]

_log = EventLog("radishlanding.platform")


class RegistrationApi:
    """Receive the pings and deregistrations of runners.

    A ping registers a runner or updates its registration.
    """

    __slots__ = ("_handler",)

    def __init__(self, *, handler):
        """Create the API.

        :param handler: Object with the methods ``worker_reported(report)``,
            which takes a :class:`radishlanding.worker.WorkerReport`, and
            ``worker_left(worker_id)``.
        """
        self._handler = handler

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
            try:
                report = _decode_report(path[2], req.json())
            except (KeyError, TypeError, ValueError) as exc:
                _log.warning("ping_malformed", worker=path[2], reason=exc)
                raise HttpError(status=400, reason=f"malformed: {exc!r}")
            self._handler.worker_reported(report)
        elif req.method == "DELETE":
            self._handler.worker_left(path[2])
        else:
            raise HttpError(status=405, reason="PUT or DELETE")
        return HttpResponse.of_json({})


def _require_int(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    return value


def _decode_report(worker_id, raw):
    """Decode a ping."""
    state = raw["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    # Despite its name, what all tasks may use, the running ones included.
    usable = raw["freeCapacity"]
    labels = raw.get("labels", [])
    for text in (raw["service"], raw["address"], raw["zone"], *labels):
        if not isinstance(text, str):
            raise ValueError(f"{text!r} is not a string")
    return WorkerReport(
        worker_id=worker_id,
        # Unix time of the runner's start, in milliseconds.
        born_ms=_require_int(raw.get("born", 0)),
        number=_require_int(raw["sequence"]),
        # The platform calls a pool of VMs a service.
        pool=raw["service"],
        address=raw["address"],
        zone=raw["zone"],
        labels=list(labels),
        capacity=Capacity(
            millicores=_require_int(usable["cpu"]),
            memory_mb=_require_int(usable["memMb"]),
            accelerators=_require_int(usable.get("gpu", 0)),
        ),
        is_draining=state == "draining",
        remaining_ms=_require_int(raw.get("remainingMs", 0)),
    )
