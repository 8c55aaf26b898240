"""HTTP API for operators: configuration, jobs and status."""

import dataclasses

from radishlanding import message as messages
from radishlanding.config import diff_documents
from radishlanding.config import make_document
from radishlanding.findings import InvalidInput
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from radishlanding.peer import ConnectionLost
from radishlanding.request import Outcome
from radishlanding.store import StoreUnavailable

CALL_TIMEOUT_S = 5.0
MAX_ZONE_UPDATES = 5

_JOB_STATUS = {
    Outcome.DONE: 200,
    Outcome.NOT_RUN: 404,
    Outcome.UNKNOWN: 504,
}


class OperatorApi:
    """Show and change the configuration and jobs; show the status."""

    __slots__ = ("_burn", "_cfg_watch", "_counters", "_identity", "_links")

    def __init__(self, *, burn, cfg_watch, counters, identity, links):
        """Prepare the API.

        :param burn: The :class:`radishlanding.report.BurnHistory`.
        :param cfg_watch: A :class:`radishlanding.config.ConfigWatch`.
        :param counters: Counters of the process.
        :param identity: Pair of process identity and availability zone.
        :param links: The :class:`SchedulerLinks`.
        """
        self._burn = burn
        self._cfg_watch = cfg_watch
        self._counters = counters
        self._identity = identity
        self._links = links

    async def show_config(self):
        """Answer ``GET /v1/config`` with the newest revision in the store."""
        await self._refresh()
        return HttpResponse.of_json(
            dataclasses.asdict(self._cfg_watch.document)
        )

    async def apply_config(self, http_req):
        """Answer ``PUT /v1/config``; callers name the revision to replace."""
        fields = http_req.json()
        expected = fields.get("expected")
        if not isinstance(expected, int):
            raise HttpError(
                status=400, reason="expected: must be a revision number"
            )
        try:
            document = make_document(
                fields.get("document", {}), source="document"
            )
        except InvalidInput as exc:
            raise HttpError(status=400, reason="; ".join(exc.lines()))
        document.author = str(fields.get("author", ""))
        await self._refresh()
        current = self._cfg_watch.document
        if expected == current.revision > 0:
            if document.shards != current.shards:
                raise HttpError(
                    status=400,
                    reason=f"shards: fixed at {current.shards}",
                )
        if not await self._replace(document, expected):
            return self._conflict(document)
        return self._accepted()

    async def set_zone_in_service(self, http_req, zone, *, in_service):
        """Answer ``POST /v1/zones/<zone>/out`` and ``/in``."""
        author = str(http_req.json().get("author", ""))
        for _ in range(MAX_ZONE_UPDATES):
            await self._refresh()
            old = self._cfg_watch.document
            if zone not in old.zones:
                raise HttpError(status=404, reason=f"no zone {zone}")
            if old.zones[zone].in_service == in_service:
                return self._accepted()
            changed = dataclasses.replace(
                old.zones[zone], in_service=in_service
            )
            document = dataclasses.replace(
                old, author=author, zones={**old.zones, zone: changed}
            )
            if await self._replace(document, old.revision):
                return self._accepted()
        return self._conflict(document)

    async def _refresh(self):
        try:
            await self._cfg_watch.refresh()
        except StoreUnavailable as exc:
            raise HttpError(status=503, reason=f"store: {exc}")

    async def _replace(self, document, expected):
        try:
            return await self._cfg_watch.replace(document, expected=expected)
        except StoreUnavailable as exc:
            raise HttpError(
                status=504,
                reason=f"store: {exc}; the change may have been accepted",
            )

    def _accepted(self):
        revision = self._cfg_watch.document.revision
        return HttpResponse.of_json({"revision": revision})

    def _conflict(self, document):
        """Report the current revision, its author and the differences."""
        current = self._cfg_watch.document
        return HttpResponse.of_json(
            {
                "error": f"revision {current.revision} by "
                f"{current.author or 'an unknown author'} is in force",
                "revision": current.revision,
                "author": current.author,
                "differs": diff_documents(current, document),
            },
            status=409,
        )

    async def list_jobs(self):
        """Answer ``GET /v1/jobs``."""
        answers = await self._links.call_all(
            messages.ListJobs(), timeout_s=CALL_TIMEOUT_S
        )
        jobs = [job for answer in answers for job in answer.jobs]
        return HttpResponse.of_json(
            {"jobs": [dataclasses.asdict(job) for job in jobs]}
        )

    async def show_job(self, job_id):
        """Answer ``GET /v1/jobs/<job>``."""
        return await self._call_job_owner(
            job_id, messages.ListJobs(job_id=job_id)
        )

    async def cancel_job(self, job_id):
        """Answer ``DELETE /v1/jobs/<job>``."""
        return await self._call_job_owner(
            job_id, messages.CancelJob(job_id=job_id)
        )

    async def decide_task(self, http_req, job_id, index):
        """Answer ``POST /v1/jobs/<job>/tasks/<index>/decision``."""
        again = http_req.json().get("again")
        if not isinstance(again, bool):
            raise HttpError(status=400, reason="again: must be true or false")
        message = messages.DecideTask(task_id=f"{job_id}/{index}", again=again)
        return await self._call_job_owner(job_id, message)

    async def _call_job_owner(self, job_id, message):
        try:
            answer = await self._links.call_owner(
                job_id, message, timeout_s=CALL_TIMEOUT_S
            )
        except ConnectionLost as exc:
            raise HttpError(status=504, reason=str(exc))
        if answer.outcome != Outcome.DONE:
            raise HttpError(
                status=_JOB_STATUS[answer.outcome], reason=answer.reason
            )
        return HttpResponse.of_json(dataclasses.asdict(answer.jobs[0]))

    async def status(self):
        """Answer ``GET /v1/status``."""
        answers = await self._links.call_all(
            messages.GetStatus(), timeout_s=CALL_TIMEOUT_S
        )
        process_id, zone = self._identity
        rows = {}
        for answer in answers:
            for item in answer.processes:
                key = (item.kind, item.process_id)
                # Several schedulers may report a process; the newest revision
                # wins.
                if key not in rows or rows[key].revision < item.revision:
                    rows[key] = item
        rows["entry", process_id] = messages.ProcessSummary(
            kind="entry",
            process_id=process_id,
            zone=zone,
            revision=self._cfg_watch.document.revision,
        )
        return HttpResponse.of_json(
            {
                "revision": self._cfg_watch.document.revision,
                "processes": [
                    dataclasses.asdict(rows[key]) for key in sorted(rows)
                ],
                "counters": self._counters.snapshot(),
            }
        )

    def burn(self):
        """Answer ``GET /v1/burn``."""
        return HttpResponse.of_json({"rows": self._burn.dump()})
