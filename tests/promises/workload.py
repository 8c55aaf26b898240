"""Workload of a site while faults are injected."""

import itertools

import trio

from radishlanding.http import ExchangeFailed

FAULT_DELAY_S = 1.5
REQUEST_INTERVAL_S = 0.1
BOOKING_INTERVAL_S = 0.25
BOOKING_TRIES = 4
SETTLE_TIMEOUT_S = 60.0
END_STATES = ("done", "failed", "lost")
JOBS = (
    ("watch", "tank-watch", 6, 8.0),
    ("plan", "shipment-plan", 3, 6.0),
    ("settle", "settlement-run", 24, 2.0),
)


class Workload:
    """Send stock checks, bookings with retries, and jobs."""

    __slots__ = ("_numbers", "_site", "booking_keys")

    def __init__(self, site):
        """Prepare the workload of a site."""
        self._numbers = itertools.count()
        self._site = site
        self.booking_keys = []

    async def run(self, fault):
        """Start the workload, inject a fault and wait until all jobs end."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_stock_checks)
            nursery.start_soon(self.send_bookings)
            for job_id, template, tasks, work_s in JOBS:
                await self.submit(job_id, template, tasks, work_s)
            await trio.sleep(FAULT_DELAY_S)
            await fault(self._site)
            await self._site.wait_until(
                self._is_settled,
                timeout_s=SETTLE_TIMEOUT_S,
                description="every task has ended",
            )
            nursery.cancel_scope.cancel()

    async def submit(self, job_id, template, tasks, work_s):
        """Submit a job, retrying until it is accepted."""
        for entry in itertools.cycle((0, 1)):
            try:
                status, _ = await self._site.submit(
                    job_id, template, tasks=tasks, work_s=work_s, entry=entry
                )
            except ExchangeFailed:
                status = 0
            if status == 202:
                return
            await trio.sleep(0.2)

    async def _is_settled(self):
        for job_id, _, tasks, _ in JOBS:
            states = await self._site.job_states(job_id, entry=1)
            ended = [states.get(name, 0) for name in END_STATES]
            if sum(ended) != tasks:
                return False
        return True

    async def send_stock_checks(self):
        """Send stock checks through both entries in turn until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                number = next(self._numbers)
                nursery.start_soon(self._send_stock_check, number)
                await trio.sleep(REQUEST_INTERVAL_S)

    async def _send_stock_check(self, number):
        await self._site.request(
            "stock-check", {"n": number}, entry=number % 2
        )

    async def send_bookings(self):
        """Send bookings until cancelled, retrying each that is not done."""
        async with trio.open_nursery() as nursery:
            while True:
                nursery.start_soon(self._send_booking, next(self._numbers))
                await trio.sleep(BOOKING_INTERVAL_S)

    async def _send_booking(self, number):
        key = f"booking-{number}"
        self.booking_keys.append(key)
        for attempt in range(BOOKING_TRIES):
            answer = await self._site.request(
                "plan-booking",
                {"n": number, "service_s": 0.05},
                key=key,
                entry=(number + attempt) % 2,
                timeout_s=10.0,
            )
            if answer is not None and answer.get("outcome") == "done":
                return
            await trio.sleep(0.2)
