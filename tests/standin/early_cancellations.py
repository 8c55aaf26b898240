"""Jobs that are cancelled while their submission is on its way."""

import itertools
import json
import time

import trio

from radishlanding.http import ExchangeFailed
from radishlanding.http import HttpClient
from tests.standin.platform_site import HOST
from tests.standin.platform_site import PREFIX

INTERVAL_S = 0.4
# Callers leave, and cancel at another dispatcher, after this time.
LEAVE_S = 0.1
DEADLINE_S = 3.0
CANCEL_TRIES = 5
# From the platform's documentation: a task may start this much later, by the
# status of the answer. A job that is told to be absent has no order underway.
MAX_START_DELAY_S = {200: 3.0, 410: 0.0}
# As large as the tasks of other jobs, which the check of capacity counts.
BODY = json.dumps(
    {
        "spec": "work",
        "steps": [{"count": 1, "cpu": 500, "memMb": 10, "estimatedMs": 300}],
    }
).encode()


class EarlyCancellations:
    """Submit jobs, leave and cancel them elsewhere, at a steady rate."""

    __slots__ = ("_latest_start_s", "_site")

    def __init__(self, site):
        """Prepare.

        :param site: The :class:`tests.standin.platform_site.PlatformSite`.
        """
        # By name of the job, on the monotonic clock.
        self._latest_start_s = {}
        self._site = site

    async def run(self):
        """Submit and cancel jobs until cancelled."""
        async with trio.open_nursery() as nursery:
            for number in itertools.count(1):
                nursery.start_soon(self._submit_and_cancel, number)
                await trio.sleep(INTERVAL_S)

    async def _submit_and_cancel(self, number):
        name = f"c{number:015x}"
        count = len(self._site.dispatchers)
        with trio.move_on_after(LEAVE_S):
            await self._send("POST", name, number % count)
        for attempt in range(1, CANCEL_TRIES + 1):
            status = await self._send(
                "DELETE", name, (number + attempt) % count
            )
            if status in MAX_START_DELAY_S:
                self._latest_start_s[name] = (
                    time.monotonic() + MAX_START_DELAY_S[status]
                )
                return
            await trio.sleep(INTERVAL_S)

    async def _send(self, method, name, index):
        """Send a request on a connection of its own; return the status."""
        address = self._site.dispatchers[index].ports.get("http")
        if address is None:
            return 0
        client = HttpClient(address=address)
        try:
            response = await client.send(
                method,
                PREFIX + name,
                body=BODY if method == "POST" else b"",
                headers=[("host", HOST), ("x-deadline-ms", "3000")],
                timeout_s=DEADLINE_S,
            )
        except ExchangeFailed:
            return 0
        finally:
            with trio.CancelScope(shield=True):
                await client.close()
        return response.status

    def findings(self, record):
        """Return runs that started too late after a cancellation.

        :param record: :class:`tests.standin.runner_run.RunnerRun` objects.
        """
        findings = []
        for run in record:
            latest_s = self._latest_start_s.get(run.task.partition(".")[0])
            if latest_s is not None and run.started_s > latest_s:
                findings.append(
                    f"{run.task} started {run.started_s - latest_s:.2f} s too "
                    f"late after its job's cancellation"
                )
        return findings
