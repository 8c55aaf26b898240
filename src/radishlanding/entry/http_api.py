"""Request routing of the HTTP API."""

from radishlanding.entry.caller_api import NO_CONFIG
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse


class HttpApi:
    """Dispatch HTTP requests to the caller and operator APIs."""

    __slots__ = ("_callers", "_cfg_watch", "_operators", "is_stopping")

    def __init__(self, *, callers, operators, cfg_watch):
        """Prepare the API.

        :param callers: The :class:`CallerApi`.
        :param operators: The :class:`OperatorApi`.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        """
        self._callers = callers
        self._operators = operators
        self._cfg_watch = cfg_watch
        self.is_stopping = False

    async def respond(self, req):
        """Return the response to a request.

        :param req: A :class:`radishlanding.http.HttpRequest`.
        :raises HttpError: The response is an error.
        """
        match [req.method, *req.path]:
            case ["GET", "healthz"]:
                return HttpResponse.of_json({"ok": True})
            case ["GET", "readyz"]:
                return self._ready()
            case ["POST", "v1", "requests", organisation, template]:
                return await self._callers.run_request(
                    req, organisation, template
                )
            case ["POST", "v1", "jobs"]:
                return await self._callers.submit_job(req)
            case ["GET", "v1", "jobs"]:
                return await self._operators.list_jobs()
            case ["GET", "v1", "jobs", job_id]:
                return await self._operators.show_job(job_id)
            case ["DELETE", "v1", "jobs", job_id]:
                return await self._operators.cancel_job(job_id)
            case ["POST", "v1", "jobs", job_id, "tasks", index, "decision"]:
                return await self._operators.decide_task(req, job_id, index)
            case ["GET", "v1", "config"]:
                return await self._operators.show_config()
            case ["PUT", "v1", "config"]:
                return await self._operators.apply_config(req)
            case ["POST", "v1", "zones", zone, "out" | "in" as direction]:
                return await self._operators.set_zone_in_service(
                    req, zone, in_service=direction == "in"
                )
            case ["GET", "v1", "status"]:
                return await self._operators.status()
            case ["GET", "v1", "burn"]:
                return self._operators.burn()
        raise HttpError(status=404, reason=f"no {req.method} {req.target}")

    def _ready(self):
        if self.is_stopping:
            raise HttpError(status=503, reason="stopping")
        if self._cfg_watch.document.revision == 0:
            raise HttpError(status=503, reason=NO_CONFIG)
        return HttpResponse.of_json({"ok": True})
