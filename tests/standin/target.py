"""Fake of a target."""

import hashlib
import json

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpError
from radishlanding.http import HttpResponse
from tests.standin.record import Execution
from tests.standin.record import now_s

ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 1.0


class FakeTarget:
    """Serve requests, more slowly the more millicores tasks use."""

    __slots__ = (
        "_in_flight",
        "_previous",
        "_record",
        "_worker",
        "_zone",
        "address",
        "agent_address",
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

        :param vm: ID of the VM.
        :param zone: Availability zone of the VM.
        :param service: Service of the target.
        :param record: The :class:`Record` of the site.
        :param worker: The :class:`FakeWorker` on the same VM.
        :param slots: Advertised number of concurrent requests.
        """
        self._in_flight = 0
        self._previous = ("", "")
        self._record = record
        self._worker = worker
        self._zone = zone
        self.address = ""
        self.agent_address = ""
        self.crosses_answers = False
        self.is_leaving = False
        self.is_silent = False
        self.service = service
        self.service_s = 0.005
        self.slots = slots
        self.vm = vm

    async def announce_periodically(self):
        """Announce the target to the agent until cancelled."""
        while True:
            if self.agent_address and not self.is_silent:
                await self.announce_once()
            await trio.sleep(ANNOUNCE_INTERVAL_S)

    async def announce_once(self):
        """Send one announcement; ignore a failure."""
        client = HttpClient(address=self.agent_address)
        announcement = {
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
                body=json.dumps(announcement).encode(),
                timeout_s=ANNOUNCE_TIMEOUT_S,
            )
        except ExchangeFailed:
            pass
        finally:
            await client.close()

    async def respond(self, req):
        """Record a request, wait its service time and return a digest."""
        if req.method != "POST" or req.path != ["v1", "run"]:
            raise HttpError(status=404, reason=f"no {req.target}")
        if self._worker.is_down:
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
        current = (key, digest)
        identity, self._previous = (
            self._previous if self.crosses_answers else current,
            current,
        )
        return HttpResponse(
            status=200,
            headers={"x-request-id": identity[0]},
            body=json.dumps({"digest": identity[1]}).encode(),
        )

    def _service_time(self, req):
        busy = self._worker.running_millicores()
        share = busy / self._worker.capacity.millicores
        requested_s = json.loads(req.body or b"{}").get("service_s")
        return (requested_s or self.service_s) * (1 + share)
