"""Takes what the platform's runners say of themselves.

Source: the platform's page "What radishlanding speaks", section on service
discovery.
"""

from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.observe import EventLog
from radishlanding.vm import Capacity
from radishlanding.worker import WorkerReport

INSTANCES = ["-", "instances"]

_log = EventLog("radishlanding.platform")


class RegistrationApi:
    """Answer runners' pings and their word that they leave."""

    __slots__ = ("_handler",)

    def __init__(self, *, handler):
        """Prepare.

        :param handler: Takes reports: ``worker_reported(report)`` and
            ``worker_left(worker_id)``.
        """
        self._handler = handler

    async def respond(self, req):
        """Return the response to a runner."""
        path = req.path
        if path[:2] != INSTANCES or len(path) != 3:
            raise HttpError(status=404, reason="no such path")
        if req.method == "PUT":
            try:
                report = _report(path[2], req.json())
            except (KeyError, TypeError, ValueError) as exc:
                _log.warning("ping_malformed", worker=path[2], reason=exc)
                raise HttpError(status=400, reason=f"malformed: {exc!r}")
            self._handler.worker_reported(report)
        elif req.method == "DELETE":
            self._handler.worker_left(path[2])
        else:
            raise HttpError(status=405, reason="PUT or DELETE")
        return HttpResponse.of_json({})


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is no whole number")
    return value


def _report(worker_id, raw):
    """Decode a ping; ``freeCapacity`` is what tasks may use in all."""
    state = raw["state"]
    if state not in ("ready", "draining"):
        raise ValueError(f"unknown state {state!r}")
    room = raw["freeCapacity"]
    labels = raw.get("labels", [])
    for text in (raw["service"], raw["address"], raw["zone"], *labels):
        if not isinstance(text, str):
            raise ValueError(f"{text!r} is no text")
    return WorkerReport(
        worker_id=worker_id,
        born_ms=_whole(raw.get("born", 0)),
        number=_whole(raw["sequence"]),
        pool=raw["service"],
        address=raw["address"],
        zone=raw["zone"],
        labels=list(labels),
        capacity=Capacity(
            millicores=_whole(room["cpu"]),
            memory_mb=_whole(room["memMb"]),
            accelerators=_whole(room.get("gpu", 0)),
        ),
        is_draining=state == "draining",
        remaining_ms=_whole(raw.get("remainingMs", 0)),
    )
