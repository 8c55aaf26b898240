"""HTTP API for the clients of the platform.

Specified by the platform's page "What radishlanding speaks", section on jobs.
"""

import re
import time

import msgspec

from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.observe import EventLog
from radishlanding.vm import Capacity
from radishlanding.workflow import Step
from radishlanding.workflow import Workflow
from radishlanding.workflow import WorkflowOutcome

ID_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
MAX_SPEC_BYTES = 4000
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
                host=host,
                path=path,
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
            answer = await self._leader_client.find(name, timeout_s=timeout_s)
            return _response(answer, absent=410, with_state=True)
        if req.method == "DELETE":
            answer = await self._leader_client.cancel(
                name, request_id=_request_id(req), timeout_s=timeout_s
            )
            return _response(answer, absent=410)
        raise HttpError(status=405, reason="POST, GET or DELETE")

    async def _backlog(self, req, queue):
        if req.method != "GET":
            raise HttpError(status=405, reason="GET")
        waiting = await self._leader_client.backlog(
            queue.name, timeout_s=_timeout_s(req)
        )
        if waiting is None:
            return _retry_response(503, 1)
        return HttpResponse.of_json({"waiting": waiting})

    async def _submit(self, req, queue, name, timeout_s):
        try:
            workflow = _decode_workflow(name, queue, req.body)
        except (KeyError, TypeError, ValueError) as exc:
            _log.info(
                "job_malformed", request=_request_id(req), job=name, reason=exc
            )
            raise HttpError(status=400, reason=f"malformed job: {exc!r}")
        answer = await self._leader_client.submit(
            workflow, queue, request_id=_request_id(req), timeout_s=timeout_s
        )
        return _response(answer, absent=503)


def _request_id(req):
    return req.headers.get("request-id", "none")


def _timeout_s(req):
    try:
        return int(req.headers["x-deadline-ms"]) / 1000
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_MS / 1000


def _retry_response(status, retry_after_s):
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
            return _retry_response(503, answer.retry_after_s)
    return _retry_response(504, answer.retry_after_s)


def _decode_step(raw, number):
    after = [int(item) for item in raw.get("after", [])]
    if any(not 0 <= item < number for item in after):
        raise ValueError(f"step {number} cannot come after {after}")
    count = int(raw["count"])
    if count < 1:
        raise ValueError(f"step {number} has {count} tasks")
    return Step(
        count=count,
        needs=Capacity(
            millicores=int(raw.get("cpu", 0)),
            memory_mb=int(raw.get("memMb", 0)),
            accelerators=int(raw.get("gpu", 0)),
        ),
        estimated_ms=int(raw.get("estimatedMs", 0)),
        after=after,
        checkpointing=bool(raw.get("checkpointing", False)),
        gang=bool(raw.get("gang", False)),
        same_rack=bool(raw.get("sameRack", False)),
        # One label that the VM must have.
        label=str(raw.get("requirements", "") or ""),
        # The rack that holds the input data.
        data_rack=str(raw.get("affinity", "") or ""),
        # Highest number of the step's tasks on one VM, 0 for no limit.
        max_per_vm=int(raw.get("antiAffinity", 0)),
        speculative=bool(raw.get("speculative", False)),
        standing=bool(raw.get("longRunning", False)),
        image=str(raw.get("image", "") or ""),
        latency_target_ms=int(raw.get("targetMs", 0)),
        fills=bool(raw.get("fills", False)),
        # Standing tasks that planned stops may take down at once.
        max_unavailable=int(raw.get("mayMiss", 0)),
    )


def _decode_workflow(name, queue, body):
    """Decode a job.

    The workflow keeps the settings that its queue has now; a later change of
    the queue does not affect it.
    """
    raw = msgspec.json.decode(body)
    spec = raw["spec"]
    if not isinstance(spec, str) or len(spec.encode()) > MAX_SPEC_BYTES:
        raise ValueError(
            f"spec is not a string of at most {MAX_SPEC_BYTES} bytes"
        )
    steps = [
        _decode_step(step, number) for number, step in enumerate(raw["steps"])
    ]
    if not steps:
        raise ValueError("the job has no steps")
    return Workflow(
        workflow_id=name,
        queue=queue.name,
        pool=queue.pool,
        spec=spec,
        steps=steps,
        repeats=int(raw.get("repeatCount", 0)),
        first_due_ms=int(raw.get("firstRunMs", 0)),
        interval_ms=int(raw.get("intervalMs", 0)),
        accepted_ms=int(time.time() * 1000),
        priority=queue.priority,
        max_attempts=queue.max_attempts,
        stretch=queue.stretch,
        latency_ms=queue.latency_ms,
        is_advised=queue.advisor_timing is not None,
    )
