"""A site of real processes with fakes of everything around them."""

import contextlib
import functools
import json
import pathlib
import tempfile

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from radishlanding.http import HttpServer
from tests.standin import checks
from tests.standin.entry_vm import EntryVm
from tests.standin.record import now_s
from tests.standin.record import Record
from tests.standin.store import FakeStore
from tests.standin.vm import Vm

READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 20.0


class Site:
    """Run entry VMs, target VMs and a store, with proxies on all links."""

    __slots__ = (
        "_nursery",
        "answers",
        "attempts",
        "entry_vms",
        "folder",
        "plan",
        "record",
        "store",
        "store_address",
        "vms",
    )

    def __init__(self, *, plan, folder):
        """Prepare a site.

        :param plan: A :class:`tests.standin.plan.Plan`.
        :param folder: Folder for settings and logs.
        """
        self._nursery = None
        self.answers = []
        self.attempts = []
        self.folder = folder
        self.plan = plan
        self.record = Record()
        self.store = FakeStore()
        self.store_address = ""
        self.entry_vms = [
            EntryVm(name=str(index), zone=zone, folder=folder)
            for index, zone in enumerate(plan.entry_zones)
        ]
        self.vms = {
            name: Vm(
                name=name,
                zone=zone,
                rack=rack,
                service=plan.service,
                capacity=plan.capacity,
                site=self,
            )
            for name, zone, rack in plan.vms()
        }

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, plan):
        """Start a site; kill its processes on exit."""
        with tempfile.TemporaryDirectory(prefix="radishlanding-") as folder:
            site = cls(plan=plan, folder=pathlib.Path(folder))
            async with trio.open_nursery() as nursery:
                site._nursery = nursery
                try:
                    await site._start()
                    yield site
                finally:
                    with trio.CancelScope(shield=True):
                        for process in site.processes():
                            await process.kill()
                nursery.cancel_scope.cancel()

    def processes(self):
        """Yield all processes under test."""
        for entry_vm in self.entry_vms:
            yield entry_vm.entry
            yield entry_vm.scheduler
        for vm in self.vms.values():
            yield vm.agent

    async def _start(self):
        nursery = self._nursery
        port = await nursery.start(
            functools.partial(
                HttpServer(handler=self.store).run, host="127.0.0.1", port=0
            )
        )
        self.store_address = f"127.0.0.1:{port}"
        nursery.start_soon(self.store.sweep)
        async with trio.open_nursery() as starting:
            for entry_vm in self.entry_vms:
                await entry_vm.start(nursery, self.store_address)
                starting.start_soon(entry_vm.start_entry, nursery)
                starting.start_soon(self.start_scheduler, entry_vm)
            for vm in self.vms.values():
                await vm.start(nursery)
        await self.apply_config(self.plan.document())
        async with trio.open_nursery() as starting:
            for vm in self.vms.values():
                starting.start_soon(self.start_agent, vm)
        await self.wait_ready()

    async def start_scheduler(self, entry_vm):
        """Start the scheduler of an entry VM."""
        await entry_vm.start_scheduler(
            self._nursery, self.plan.scheduler_settings()
        )

    async def start_entry(self, entry_vm):
        """Start the entry of an entry VM."""
        await entry_vm.start_entry(self._nursery)

    async def start_agent(self, vm):
        """Start the agent of a target VM."""
        await vm.start_agent(
            self._nursery,
            {
                **self.plan.agent_settings(),
                "schedulers": [
                    entry_vm.scheduler_peers.address
                    for entry_vm in self.entry_vms
                ],
            },
        )

    async def call(
        self, method, path, value=None, *, entry=0, headers=(), timeout_s=None
    ):
        """Send one call to an entry; return the status and the JSON body.

        :param entry: Index of the entry VM.
        :param timeout_s: Timeout in seconds, None for the default.
        :raises ExchangeFailed: No complete response was received.
        """
        body = b"" if value is None else json.dumps(value).encode()
        client = HttpClient(address=self.entry_vms[entry].http.address)
        try:
            response = await client.send(
                method,
                path,
                body=body,
                headers=list(headers),
                timeout_s=timeout_s or CALL_TIMEOUT_S,
            )
        finally:
            await client.close()
        return response.status, response.json()

    async def apply_config(self, document, *, entry=0):
        """Apply a configuration.

        :raises AssertionError: It was refused.
        """
        status, answer = await self.call(
            "PUT",
            "/v1/config",
            {"document": document, "expected": 0, "author": "test"},
            entry=entry,
        )
        if status != 200:
            raise AssertionError(f"configuration refused: {answer}")

    async def move_zone(self, zone, direction, *, entry=0):
        """Take a zone out of or into service.

        :param direction: ``out`` or ``in``.
        :returns: The time of acceptance, in seconds, and the revision.
        :raises AssertionError: The change was refused.
        """
        status, answer = await self.call(
            "POST",
            f"/v1/zones/{zone}/{direction}",
            {"author": "test"},
            entry=entry,
        )
        if status != 200:
            raise AssertionError(f"zone not moved: {answer}")
        return now_s(), answer["revision"]

    async def request(self, template, body, *, key="", entry=0, **options):
        """Send a request; record and return the answer.

        :returns: The answer, or None if no response was received.
        """
        headers = [("idempotency-key", key)] if key else []
        sent = json.dumps(body).encode()
        sent_s = now_s()
        self.attempts.append((key, sent_s))
        try:
            status, answer = await self.call(
                "POST",
                f"/v1/requests/{self.plan.organisation}/{template}",
                body,
                headers=headers,
                entry=entry,
                **options,
            )
        except ExchangeFailed:
            return None
        answer["http_status"] = status
        answer["sent"] = sent
        answer["sent_s"] = sent_s
        self.answers.append(answer)
        return answer

    async def submit(self, job_id, template, *, tasks=1, entry=0, **params):
        """Submit a job; return the status and the answer."""
        return await self.call(
            "POST",
            "/v1/jobs",
            {
                "job_id": job_id,
                "organisation": self.plan.organisation,
                "template": template,
                "tasks": tasks,
                "parameters": params,
            },
            entry=entry,
        )

    async def job_states(self, job_id, *, entry=0):
        """Return the number of tasks of a job by state, empty on failure."""
        try:
            status, answer = await self.call(
                "GET", f"/v1/jobs/{job_id}", entry=entry, timeout_s=6.0
            )
        except ExchangeFailed:
            return {}
        if status != 200:
            return {}
        return {item["state"]: item["count"] for item in answer["states"]}

    async def wait_until(self, condition, *, timeout_s, description):
        """Wait for a condition.

        :param condition: Function or coroutine function.
        :param timeout_s: Timeout, in seconds.
        :param description: Condition as text, for the error message.
        :returns: The time waited, in seconds.
        :raises AssertionError: The condition was not met in time.
        """
        started_s = now_s()
        with trio.move_on_after(timeout_s):
            while True:
                value = condition()
                if hasattr(value, "__await__"):
                    value = await value
                if value:
                    return now_s() - started_s
                await trio.sleep(POLL_INTERVAL_S)
        raise AssertionError(f"timed out after {timeout_s} s: {description}")

    async def wait_for_job(self, job_id, state, count, *, timeout_s, entry=0):
        """Wait until exactly ``count`` tasks of a job are in a state."""

        async def is_there():
            states = await self.job_states(job_id, entry=entry)
            return states.get(state, 0) == count

        return await self.wait_until(
            is_there,
            timeout_s=timeout_s,
            description=f"{count} {state} of {job_id}",
        )

    async def wait_for_running(self, count, *, timeout_s, zone=None):
        """Wait until exactly ``count`` tasks run.

        :param zone: Availability zone to count in, None for all.
        """

        def are_there():
            running = [
                run
                for run in self.record.running()
                if zone in (None, run.zone)
            ]
            return len(running) == count

        return await self.wait_until(
            are_there,
            timeout_s=timeout_s,
            description=f"{count} running in {zone}",
        )

    async def revisions(self, *, entry=0):
        """Return configuration revisions by kind and ID of live processes."""
        try:
            status, answer = await self.call(
                "GET", "/v1/status", entry=entry, timeout_s=6.0
            )
        except ExchangeFailed:
            return {}
        if status != 200:
            return {}
        return {
            (item["kind"], item["process_id"]): item["revision"]
            for item in answer["processes"]
        }

    async def wait_ready(self):
        """Wait until all entries list every process with a configuration."""
        wanted = len(list(self.processes()))

        async def is_ready():
            for entry in range(len(self.entry_vms)):
                found = await self.revisions(entry=entry)
                if len(found) != wanted or 0 in found.values():
                    return False
            return True

        await self.wait_until(
            is_ready,
            timeout_s=READY_TIMEOUT_S,
            description="the site is ready",
        )

    def read_logs(self):
        """Return the last lines of each log."""
        texts = []
        for path in sorted(self.folder.glob("*.log")):
            lines = path.read_text().splitlines()[-25:]
            texts.append(f"--- {path.name}\n" + "\n".join(lines))
        return "\n".join(texts)

    def findings(self):
        """Return violated invariants and wrong answers."""
        findings = checks.invariant_findings(self.record)
        findings += checks.contradicted_answers(
            self.record, self.answers, self.attempts
        )
        return findings
