"""Stands in for a target, which serves requests on one VM."""

import hashlib
import json

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from tests.standin.record import Execution
from tests.standin.record import now_s

ANNOUNCE_PAUSE_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0


class FakeTarget:
    """Serve requests one slot each; slower the more batch runs beside it."""

    __slots__ = (
        "_in_flight",
        "_last",
        "_record",
        "_worker",
        "_zone",
        "address",
        "announce_to",
        "crosses_answers",
        "is_leaving",
        "is_silent",
        "service",
        "service_s",
        "slots",
        "vm",
    )

    def __init__(self, *, vm, zone, service, record, worker, slots=8):
        """Start idle.

        :param vm: Identity of the VM.
        :param zone: Its availability zone.
        :param service: Service that it serves.
        :param record: The :class:`Record` of the site.
        :param worker: The :class:`FakeWorker` beside it.
        :param slots: Requests that it runs at once.
        """
        self._in_flight = 0
        self._last = ("", "")
        self._record = record
        self._worker = worker
        self._zone = zone
        self.address = ""
        self.announce_to = ""
        self.crosses_answers = False
        self.is_leaving = False
        self.is_silent = False
        self.service = service
        self.service_s = 0.005
        self.slots = slots
        self.vm = vm

    async def announce(self):
        """Announce itself to the agent beside it, again and again."""
        while True:
            if self.announce_to and not self.is_silent:
                await self.announce_once()
            await trio.sleep(ANNOUNCE_PAUSE_S)

    async def announce_once(self):
        """Announce itself, and its leaving, once."""
        client = HttpClient(address=self.announce_to)
        said = {
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "connections": 64,
            "leaving": self.is_leaving,
            "reserve": {"millicores": 1000, "memory_mb": 1000},
        }
        try:
            await client.send(
                "POST",
                "/v1/targets",
                body=json.dumps(said).encode(),
                timeout_s=ANNOUNCE_TIMEOUT_S,
            )
        except ExchangeFailed:
            pass
        finally:
            await client.close()

    async def respond(self, req):
        """Serve one request."""
        if req.method != "POST" or req.path != ["v1", "run"]:
            raise HttpError(status=404, reason=f"no {req.target}")
        if self._worker.is_dead:
            await trio.sleep_forever()
        key = req.headers["x-request-id"]
        digest = hashlib.sha256(req.body).hexdigest()
        self._in_flight += 1
        execution = Execution(
            key=key,
            vm=self.vm,
            zone=self._zone,
            started_s=now_s(),
            in_flight=self._in_flight,
            slots=self.slots,
            digest=digest,
        )
        self._record.executions.append(execution)
        try:
            await trio.sleep(self._service_time(req))
        finally:
            self._in_flight -= 1
            execution.ended_s = now_s()
        own = (key, digest)
        answered, self._last = (
            self._last if self.crosses_answers else own,
            own,
        )
        return HttpResponse(
            status=200,
            headers={"x-request-id": answered[0]},
            body=json.dumps({"digest": answered[1]}).encode(),
        )

    def _service_time(self, req):
        busy = self._worker.running_millicores()
        share = busy / self._worker.capacity.millicores
        asked_s = json.loads(req.body or b"{}").get("service_s")
        return (asked_s or self.service_s) * (1 + share)
