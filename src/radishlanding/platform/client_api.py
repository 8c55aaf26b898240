"""HTTP API for the clients of the platform.

Specified by the platform's page "What radishlanding speaks", section on jobs.
"""

import re

from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.observe import EventLog
from radishlanding.platform.job import decode_job
from radishlanding.workflow import WorkflowOutcome

ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
MAX_DEADLINE_MS = 3_600_000
# Longer identities of requests and paths are cut where they are logged and
# passed on.
MAX_LOGGED_CHARS = 200
# The platform's pages specify no default; the callers that its sheets
# describe wait 3 s.
DEFAULT_DEADLINE_MS = 3000

_log = EventLog("radishlanding.platform")


class ClientApi:
    """Let clients submit, query and cancel the jobs of a queue.

    A job of the platform is a workflow of this project.
    """

    __slots__ = ("_leader_client", "_site")

    def __init__(self, *, leader_client, site):
        """Create the API.

        :param leader_client: A
            :class:`radishlanding.dispatcher.leader_client.LeaderClient`.
        :param site: Callable that returns the
            :class:`radishlanding.config.Site` in force.
        """
        self._leader_client = leader_client
        self._site = site

    async def respond(self, req):
        """Return the response to a client's request.

        :param req: A :class:`radishlanding.http.HttpRequest`.
        :returns: A :class:`radishlanding.http.HttpResponse`.
        :raises HttpError: The request matches no queue or is malformed.
        """
        site = self._site()
        if not site.version:
            return _retry_response(503, 1)
        path = req.target.partition("?")[0]
        host = req.headers.get("host", "").partition(":")[0]
        queue = site.find_queue(host, path)
        if queue is None:
            _log.info(
                "queue_unknown",
                request=_request_id(req),
                host=host[:MAX_LOGGED_CHARS],
                path=path[:MAX_LOGGED_CHARS],
                version=site.version,
            )
            raise HttpError(status=404, reason="no such queue")
        name = path[len(queue.prefix) :]
        if not name:
            return await self._backlog(req, queue)
        if not ID_PATTERN.fullmatch(name):
            raise HttpError(status=400, reason="not 16 hexadecimal digits")
        timeout_s = _timeout_s(req)
        if req.method == "POST":
            return await self._submit(req, queue, name, timeout_s)
        if req.method == "GET":
            answer = await self._leader_client.find(
                name, queue, timeout_s=timeout_s
            )
            return _response(answer, absent=410, with_state=True)
        if req.method == "DELETE":
            answer = await self._leader_client.cancel(
                name,
                queue,
                request_id=_request_id(req),
                timeout_s=timeout_s,
            )
            return _response(answer, absent=410)
        raise HttpError(status=405, reason="POST, GET or DELETE")

    async def _backlog(self, req, queue):
        if req.method != "GET":
            raise HttpError(status=405, reason="GET")
        waiting = await self._leader_client.backlog(
            queue, timeout_s=_timeout_s(req)
        )
        if waiting is None:
            return _retry_response(503, 1)
        return HttpResponse.of_json({"waiting": waiting})

    async def _submit(self, req, queue, name, timeout_s):
        try:
            workflow = decode_job(name, queue, req.body)
        except ValueError as exc:
            _log.info(
                "job_malformed", request=_request_id(req), job=name, reason=exc
            )
            raise HttpError(status=400, reason=f"malformed job: {exc!r}")
        answer = await self._leader_client.submit(
            workflow, queue, request_id=_request_id(req), timeout_s=timeout_s
        )
        return _response(answer, absent=503)


def _request_id(req):
    return req.headers.get("request-id", "none")[:MAX_LOGGED_CHARS]


def _timeout_s(req):
    try:
        deadline_ms = int(req.headers["x-deadline-ms"])
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_MS / 1000
    return min(max(deadline_ms, 0), MAX_DEADLINE_MS) / 1000


def _retry_response(status, retry_after_s, *, reason=""):
    if reason:
        response = HttpResponse.of_json({"error": reason}, status=status)
    else:
        response = HttpResponse(status=status)
    if retry_after_s:
        response.headers["retry-after"] = str(retry_after_s)
    return response


def _response(answer, *, absent, with_state=False):
    """Return the response for an answer of the leader.

    :param answer: A :class:`radishlanding.message.WorkflowAnswer`.
    :param absent: Status for a workflow that is not recorded.
    :param with_state: Whether the body names the workflow's phase.
    """
    match answer.outcome:
        case WorkflowOutcome.FOUND:
            if with_state:
                return HttpResponse.of_json({"state": answer.phase})
            return HttpResponse(status=200)
        case WorkflowOutcome.ABSENT:
            return HttpResponse(status=absent)
        case WorkflowOutcome.REFUSED:
            return _retry_response(
                503, answer.retry_after_s, reason=answer.reason
            )
    return _retry_response(504, answer.retry_after_s)
