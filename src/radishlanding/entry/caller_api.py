"""HTTP API for callers: requests and job submissions."""

import json
import time
import uuid

from radishlanding.config import Kind
from radishlanding.config import Urgency
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.message import SubmitJob
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.request import Request

KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "x-deadline-ms"
MAX_KEY_CHARS = 200
SUBMIT_TIMEOUT_S = 8.0
NO_CONFIG = "no configuration yet"

STATUS_BY_OUTCOME = {
    Outcome.DONE: 200,
    Outcome.NOT_RUN: 503,
    Outcome.UNKNOWN: 504,
}


class CallerApi:
    """Run callers' requests and submit their jobs."""

    __slots__ = (
        "_admission",
        "_burn",
        "_cfg_watch",
        "_claimed_router",
        "_counters",
        "_links",
        "_request_router",
    )

    def __init__(
        self,
        *,
        admission,
        burn,
        cfg_watch,
        claimed_router,
        counters,
        links,
        router,
    ):
        """Prepare the API.

        :param admission: The :class:`Admission`.
        :param burn: The :class:`radishlanding.report.BurnHistory`.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param claimed_router: The :class:`ClaimedRouter`.
        :param counters: Counters of the process.
        :param links: The :class:`SchedulerLinks`.
        :param router: The :class:`RequestRouter`.
        """
        self._admission = admission
        self._burn = burn
        self._cfg_watch = cfg_watch
        self._claimed_router = claimed_router
        self._counters = counters
        self._links = links
        self._request_router = router

    async def run_request(self, http_req, organisation, name):
        """Answer ``POST /v1/requests/<organisation>/<template>``."""
        if self._has_no_config():
            key = http_req.headers.get(KEY_HEADER, "")
            # An earlier attempt under the same key may have run.
            outcome = Outcome.UNKNOWN if key else Outcome.NOT_RUN
            return _answer(key, outcome, NO_CONFIG, status=503)
        req = self._make_request(http_req, organisation, name)
        try:
            with self._admission.admit(req):
                router = (
                    self._request_router
                    if req.is_idempotent
                    else self._claimed_router
                )
                result = await router.run(req)
        except HttpError as exc:
            self._record(req, is_good=False)
            self._counters.add("requests_shed")
            outcome = (
                Outcome.NOT_RUN if req.has_generated_key else Outcome.UNKNOWN
            )
            return _answer(req.key, outcome, exc.reason, status=exc.status)
        in_time = req.remaining_s() > 0
        is_good = result.outcome == Outcome.DONE and result.status < 500
        self._record(req, is_good=is_good and in_time)
        self._counters.add(f"requests_{result.outcome}")
        return _answer(
            req.key,
            result.outcome,
            result.reason,
            status=STATUS_BY_OUTCOME[result.outcome],
            target_status=result.status,
            body=result.body,
        )

    def _has_no_config(self):
        """Return whether the configuration has not been loaded yet."""
        return self._cfg_watch.document.revision == 0

    def _record(self, req, *, is_good):
        self._burn.record(req.organisation, req.template, is_good=is_good)

    def _make_request(self, http_req, organisation, name):
        """Build a request from an HTTP request.

        :raises HttpError: 400 if it is malformed, 404 if its template does not
            exist.
        """
        template = self._template(organisation, name, Kind.REQUEST)
        key = http_req.headers.get(KEY_HEADER, "")
        _check_key(key)
        timeout_ms = _deadline_ms(http_req, template.deadline_ms)
        return Request(
            key=key or f"{organisation}-{uuid.uuid4().hex}",
            has_generated_key=not key,
            organisation=organisation,
            template=name,
            service=template.service,
            is_idempotent=template.idempotent,
            is_urgent=template.urgency == Urgency.URGENT,
            zones=template.zones,
            body=http_req.body,
            timeout_s=timeout_ms / 1000,
            deadline_s=time.monotonic() + timeout_ms / 1000,
        )

    def _template(self, organisation, name, kind):
        template = self._cfg_watch.document.templates.get(name)
        if template is None or template.organisation != organisation:
            raise HttpError(
                status=404, reason=f"{organisation} has no template {name}"
            )
        if template.kind != kind:
            raise HttpError(
                status=400, reason=f"template {name} is not a {kind} template"
            )
        return template

    async def submit_job(self, http_req):
        """Answer ``POST /v1/jobs``."""
        fields = http_req.json()
        message = _job_message(fields)
        if self._has_no_config():
            return _answer(
                message.job_id, Outcome.UNKNOWN, NO_CONFIG, status=503
            )
        self._template(message.organisation, message.template, Kind.BATCH)
        try:
            answer = await self._links.call_owner(
                message.job_id, message, timeout_s=SUBMIT_TIMEOUT_S
            )
        except ConnectionLost as exc:
            return _answer(
                message.job_id,
                Outcome.UNKNOWN,
                f"{exc}; submit it again under the same job_id",
                status=504,
            )
        status = {
            Outcome.DONE: 202,
            Outcome.NOT_RUN: 409,
            Outcome.UNKNOWN: 504,
        }
        return _answer(
            message.job_id,
            answer.outcome,
            answer.reason,
            status=status[answer.outcome],
        )


def _check_key(key):
    if len(key) > MAX_KEY_CHARS or not key.isprintable():
        raise HttpError(
            status=400,
            reason=f"{KEY_HEADER} must be at most {MAX_KEY_CHARS} printable "
            "characters",
        )


def _deadline_ms(http_req, max_ms):
    text = http_req.headers.get(DEADLINE_HEADER)
    if text is None:
        return max_ms
    if not text.isdecimal() or int(text) == 0:
        raise HttpError(
            status=400, reason=f"{DEADLINE_HEADER} must be a positive integer"
        )
    return min(int(text), max_ms)


def _job_message(fields):
    """Build the submission of a job from its JSON fields.

    :raises HttpError: 400 if fields are missing, unknown or of a wrong type.
    """
    expected_types = {
        "job_id": str,
        "organisation": str,
        "template": str,
        "tasks": int,
        "parameters": dict,
    }
    defaults = {"tasks": 1, "parameters": {}}
    values = {**defaults, **fields}
    findings = [
        f"{name}: unknown key" for name in values if name not in expected_types
    ]
    for name, kind in expected_types.items():
        value = values.get(name)
        if not isinstance(value, kind) or isinstance(value, bool):
            findings.append(f"{name}: must be {kind.__name__}")
    job_id = values.get("job_id")
    if isinstance(job_id, str) and (not job_id or "/" in job_id):
        findings.append("job_id: must be a name without slashes")
    if findings:
        raise HttpError(status=400, reason="; ".join(findings))
    _check_key(job_id)
    values["parameters"] = json.dumps(values["parameters"])
    return SubmitJob(**values)


def _answer(request_id, outcome, reason, *, status, target_status=0, body=b""):
    value = {
        "request_id": request_id,
        "outcome": str(outcome),
        "reason": reason,
    }
    if target_status:
        value["status"] = target_status
        value["answer"] = body.decode("utf-8", "replace")
    return HttpResponse.of_json(value, status=status)
